"""The two builds: trees of sources, and how processes of each are started."""

import os
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

__all__ = ["Build", "THIS_TREE", "extract"]

THIS_TREE = Path(__file__).parents[1]
PACKAGES = ("core", "api", "node", "cli")
COMMAND_SECONDS = 60.0


class Build(NamedTuple):
    """A tree of sources.

    Parameters
    ----------
    name : str
        Shown in the results.
    root : Path
        Of the tree.
    """

    name: str
    root: Path

    def build_environment(self):
        """Return the environment of a process that imports this tree's packages."""
        paths = [self.root / f"packages/hingesill-{name}" for name in PACKAGES]
        paths.append(self.root / "platform")
        return {**os.environ, "PYTHONPATH": os.pathsep.join(map(str, paths))}

    def list_program(self, module):
        """Return the arguments that run a module."""
        return [sys.executable, "-W", "ignore", "-m", module]

    def run_cli(self, *arguments):
        """Run ``hingesill`` of this tree; return what it printed.

        Raises
        ------
        AssertionError
            If it ended with another status than 0.
        """
        program = self.list_program("hingesill_cli.main")
        return self.run([*program, *map(str, arguments)])

    def run(self, program):
        """Run a program to its end, with this tree's packages; as `run_cli`."""
        done = subprocess.run(
            program,
            capture_output=True,
            text=True,
            timeout=COMMAND_SECONDS,
            env=self.build_environment(),
            cwd=self.root,
        )
        if done.returncode:
            command = " ".join(program[-4:])
            message = f"{self.name}: {command}: status {done.returncode}"
            raise AssertionError(f"{message}\n{done.stdout}{done.stderr}")
        return done.stdout

    def find_packages(self):
        """Return the folders from which a process of this tree imports packages."""
        names = ["adapter", *(f"hingesill_{name}" for name in PACKAGES)]
        code = f"import {','.join(names)}\n"
        code += "".join(f"print({name}.__path__[0])\n" for name in names)
        return self.run([sys.executable, "-c", code]).split()


def extract(commit, folder):
    """Write the tree of a commit into a folder."""
    folder.mkdir()
    archive = subprocess.run(
        ["git", "archive", commit], cwd=THIS_TREE, stdout=subprocess.PIPE
    )
    if archive.returncode:
        raise SystemExit(f"git archive gives no tree of the commit {commit!r}")
    subprocess.run(["tar", "-x"], input=archive.stdout, cwd=folder, check=True)
