"""The binary ``hingesilld``: one node process."""

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
    """Return the class of the control that the settings ask for.

    Notes
    -----
    Imported here, as gRPC takes memory that a node with a directory can spare.
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
        Only tell what is wrong with the settings, or that nothing is.
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
    # What waited or rested while the VM was suspended is known to be old.
    node = Node(settings, choose_control(settings), clock=read_boot_time)
    code = node.run()
    sys.stdout.flush()
    os._exit(code)


def run():
    """Entry point of the binary."""
    fire.Fire(serve)


if __name__ == "__main__":
    run()
