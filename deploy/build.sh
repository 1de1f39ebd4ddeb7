# Puts everything that a node needs into target/deps: libraries when their list
# has changed, the project's own packages each time.
set -eu
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check --upgrade --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for package in core node; do
    rm -rf "$deps/hingesill_$package"
    cp -R "packages/hingesill-$package/hingesill_$package" "$deps/"
done
python3 -m compileall -q "$deps" platform > target/compile.log || true
# The path is that of the process, so that all modules are the ones that it would find.
EVENTLET_NO_GREENDNS=yes PYTHONPATH="platform:$deps" \
    python3 -S deploy/bundle.py target/start.bundle > target/bundle.log
