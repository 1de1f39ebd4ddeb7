"""Entry point of the program ``hingesilld``, one node process."""

import os
import sys

import fire

from hingesill_core.findings import Findings
from hingesill_node.clocks import read_boot_time
from hingesill_node.environment import load_settings
from hingesill_node.node import Node
from hingesill_node.telemetry.events import start_logging

__all__ = ["choose_control", "run", "serve"]

EXIT_BAD_SETTINGS = 2


def choose_control(settings):
    """Return the class of the control that the settings select.

    Notes
    -----
    The modules are imported here, because gRPC uses memory and a node with a directory
    does not need it.
    """
    if settings.directory:
        from hingesill_node.discovery.control import DirectoryControl

        return DirectoryControl
    from hingesill_node.control.node import LogControl

    return LogControl


def serve(check=False, **flags):
    """Run a node.

    Each setting is a flag; ``docs/SETTINGS.md`` lists them.

    Parameters
    ----------
    check : bool
        Only validate the settings and print the result.
    """
    settings = load_settings(flags)
    if isinstance(settings, Findings):
        for finding in settings:
            print(f"hingesilld: {finding}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        print("hingesilld: the settings are valid")
        return
    start_logging(settings.name, settings.log_level)
    # The boot-time clock includes suspension of the VM, so that waiting requests and
    # idle connections have their true age after it.
    node = Node(settings, choose_control(settings), clock=read_boot_time)
    code = node.run()
    sys.stdout.flush()
    os._exit(code)


def run():
    """Run the command line of the program."""
    fire.Fire(serve)


if __name__ == "__main__":
    run()
