"""Run this build beside an older one: ``python -m mixed.main --base=COMMIT``."""

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


# Not as a number: a commit may read like one, as 12345e6 does.
@SetParseFns(base=str)
def main(base):
    """Run all checks and print them; the exit status is 1 if one is broken.

    Parameters
    ----------
    base : str
        The commit of the older build.
    """
    begun = time.monotonic()
    checks = Checks()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        extract(base, folder / "base")
        older = Build("base", folder / "base")
        newer = Build("this", THIS_TREE)
        for build in (older, newer):
            with checks.check(f"processes of {build.name} import its own tree") as seen:
                places = build.find_packages()
                inside = [Path(place).is_relative_to(build.root) for place in places]
                require(all(inside), places)
                seen.append(f"{len(places)} packages")
        check_mixed_fleet(checks, older, newer, folder / "fleet")
        for writer, reader in ((older, newer), (newer, older)):
            title = f"data of {writer.name} read by {reader.name}"
            place = folder / f"platform-{writer.name}"
            check_stored_data(checks, title, writer, reader, place)
            place = folder / f"own-{writer.name}"
            check_own_data(checks, title, writer, reader, place)
        check_own_mode(checks, older, newer, folder / "own")
        check_bundles(checks, older, newer, folder / "site")
    print(f"{checks.held} held, {checks.broken} broken", end="")
    print(f" in {time.monotonic() - begun:.0f} s")
    sys.exit(1 if checks.broken else 0)


if __name__ == "__main__":
    fire.Fire(main, serialize=lambda result: "")
