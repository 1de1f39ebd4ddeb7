"""Check this build with an older one: ``python -m mixed.main --base=COMMIT``."""

import sys
import tempfile
import time
from pathlib import Path

import fire
from fire.decorators import SetParseFns

from mixed.builds import THIS_TREE, Build, extract
from mixed.bundles import check_bundles
from mixed.checks import Checks, require
from mixed.ownmode import check_own_data, check_own_mode
from mixed.platformfleet import check_mixed_fleet, check_stored_data

__all__ = ["main"]


# Without this, Fire parses some commits as numbers, such as 12345e6.
@SetParseFns(base=str)
def main(base):
    """Run all checks and print their results; the exit status is 1 if one fails.

    Parameters
    ----------
    base : str
        Commit of the older build.
    """
    started = time.monotonic()
    checks = Checks()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        extract(base, folder / "base")
        older = Build("base", folder / "base")
        newer = Build("this", THIS_TREE)
        for build in (older, newer):
            with checks.check(f"processes of {build.name} import its own tree") as seen:
                paths = build.find_packages()
                inside = [Path(path).is_relative_to(build.root) for path in paths]
                require(all(inside), paths)
                seen.append(f"{len(paths)} packages")
        check_mixed_fleet(checks, older, newer, folder / "fleet")
        for writer, reader in ((older, newer), (newer, older)):
            title = f"data of {writer.name} read by {reader.name}"
            path = folder / f"platform-{writer.name}"
            check_stored_data(checks, title, writer, reader, path)
            path = folder / f"own-{writer.name}"
            check_own_data(checks, title, writer, reader, path)
        check_own_mode(checks, older, newer, folder / "own")
        check_bundles(checks, older, newer, folder / "site")
    print(f"{checks.held} held, {checks.broken} broken", end="")
    print(f" in {time.monotonic() - started:.0f} s")
    sys.exit(1 if checks.broken else 0)


if __name__ == "__main__":
    fire.Fire(main, serialize=lambda result: "")
