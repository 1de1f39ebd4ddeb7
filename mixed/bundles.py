"""Checks of a release: the settings template, and the build step over an older one."""

import marshal
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

from mixed.checks import require

__all__ = ["check_bundles"]

BUILD_SECONDS = 120.0
# Bytes of the index's length at the start of a bundle.
LENGTH_BYTES = 8
PARTS = ("deploy", "packages", "platform")
TEMPLATE = "deploy/settings.json.template"
OWN_PREFIXES = ("adapter", "hingesill_")


def check_bundles(checks, older, newer, folder):
    """Check that a build step over the other build leaves nothing of that."""
    with checks.check("settings: the template has the same form") as seen:
        texts = [(build.root / TEMPLATE).read_text() for build in (older, newer)]
        require(texts[0] == texts[1], f"{texts[0]!r} and {texts[1]!r}")
        seen.append(texts[0].strip())
    with checks.check("bundle: this over base has modules of this only") as seen:
        build_release(older, folder)
        before = read_bundle(folder)
        build_release(newer, folder)
        after = read_bundle(folder)
        shutil.rmtree(folder)
        build_release(newer, folder)
        fresh = read_bundle(folder)
        require(after.keys() == fresh.keys(), sorted(after.keys() ^ fresh.keys()))
        differing = [name for name in fresh if after[name] != fresh[name]]
        require(not differing, f"other code than in a new folder: {differing}")
        own = [name for name in fresh if name.startswith(OWN_PREFIXES)]
        require(own, "no module of its own")
        seen.append(f"{len(fresh)} modules, {len(own)} its own")
        seen.append(f"{len(before.keys() - fresh.keys())} only of base were there")


def build_release(build, folder):
    """Put a build's sources over what is in a folder, and run its build step there.

    Notes
    -----
    The step finds the libraries installed: they are links to those of the environment.
    """
    for part in PARTS:
        ignore = shutil.ignore_patterns("__pycache__")
        source = build.root / part
        shutil.copytree(source, folder / part, ignore=ignore, dirs_exist_ok=True)
    libraries = folder / "target/deps"
    if not libraries.exists():
        libraries.mkdir(parents=True)
        for entry in Path(sysconfig.get_path("purelib")).iterdir():
            if "hingesill" not in entry.name and entry.suffix != ".pth":
                (libraries / entry.name).symlink_to(entry)
    (libraries / ".installed").touch()
    path = os.pathsep.join([str(Path(sys.executable).parent), os.environ["PATH"]])
    done = subprocess.run(
        ["sh", "deploy/build.sh"],
        cwd=folder,
        env={**os.environ, "PATH": path},
        capture_output=True,
        text=True,
        timeout=BUILD_SECONDS,
    )
    require(done.returncode == 0, f"{build.name}: {done.stdout}{done.stderr}")


def read_bundle(folder):
    """Return source file and code of each module of a folder's bundle, by its name."""
    whole = (folder / "target/start.bundle").read_bytes()
    begin = LENGTH_BYTES + int.from_bytes(whole[:LENGTH_BYTES], "big")
    _, index = marshal.loads(whole[LENGTH_BYTES:begin])
    return {
        name: (origin, marshal.loads(whole[begin + offset : begin + offset + size]))
        for name, (origin, _, _, offset, size) in index.items()
    }
