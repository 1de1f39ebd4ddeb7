"""Reading settings: flags first, then environment variables, then defaults."""

import os

from hingesill_core.findings import Findings
from hingesill_node.settings import Settings, build_settings

__all__ = ["ENVIRONMENT_PREFIX", "load_settings"]

ENVIRONMENT_PREFIX = "HINGESILL_"


def load_settings(flags):
    """Return the settings, or every finding.

    Parameters
    ----------
    flags : dict
        By setting's name; they go before environment variables.

    Returns
    -------
    Settings or Findings
    """
    values = {**read_environment(os.environ), **flags}
    found = build_settings({name: str(value) for name, value in values.items()})
    if not isinstance(found, Findings):
        return found
    placed = Findings()
    for finding in found:
        placed.add(name_place(finding.place, flags), finding.message)
    return placed


def read_environment(environ):
    """Return the values of all variables that are ours, by setting's name."""
    return {
        variable.removeprefix(ENVIRONMENT_PREFIX).lower(): value
        for variable, value in environ.items()
        if variable.startswith(ENVIRONMENT_PREFIX)
    }


def name_place(name, flags):
    """Return the flag or variable that a finding is about."""
    if name in flags:
        return f"--{name}"
    if name == Settings.__name__:
        return "settings"
    return f"{ENVIRONMENT_PREFIX}{name.upper()}"
