"""Entry point of the program ``hingesill``."""

import sys

import fire

from hingesill_cli.commands import Commands

__all__ = ["run"]


def run():
    """Run a command and exit with the code that it returns."""
    code = fire.Fire(Commands, serialize=lambda result: "")
    sys.exit(code if isinstance(code, int) else 0)


if __name__ == "__main__":
    run()
