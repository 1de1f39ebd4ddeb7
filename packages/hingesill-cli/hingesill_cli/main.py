"""The binary ``hingesill``."""

import sys

import fire

from hingesill_cli.commands import Commands

__all__ = ["run"]


def run():
    """Entry point of the binary; a command's code becomes the exit code."""
    code = fire.Fire(Commands, serialize=lambda result: "")
    sys.exit(code if isinstance(code, int) else 0)


if __name__ == "__main__":
    run()
