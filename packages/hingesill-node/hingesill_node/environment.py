"""Reads settings from flags, environment variables and defaults, in that order."""

import os

from hingesill_core.findings import Findings
from hingesill_node.settings import Settings, build_settings

__all__ = ["ENVIRONMENT_PREFIX", "load_settings"]

ENVIRONMENT_PREFIX = "HINGESILL_"


def load_settings(flags):
    """Return the settings, or all findings.

    Parameters
    ----------
    flags : dict
        Values by name of setting; they override environment variables.

    Returns
    -------
    Settings or Findings
    """
    values = {**read_environment(os.environ), **flags}
    found = build_settings({name: str(value) for name, value in values.items()})
    if not isinstance(found, Findings):
        return found
    located = Findings()
    for finding in found:
        located.add(format_location(finding.place, flags), finding.message)
    return located


def read_environment(environ):
    """Return the values of all variables with our prefix, by name of setting."""
    return {
        variable.removeprefix(ENVIRONMENT_PREFIX).lower(): value
        for variable, value in environ.items()
        if variable.startswith(ENVIRONMENT_PREFIX)
    }


def format_location(name, flags):
    """Return the flag or variable to which a finding refers."""
    if name in flags:
        return f"--{name}"
    if name == Settings.__name__:
        return "settings"
    return f"{ENVIRONMENT_PREFIX}{name.upper()}"
