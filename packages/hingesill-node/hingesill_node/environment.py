"""Reading settings: flags first, then environment variables, then defaults."""

import os

from pydantic import ValidationError
from pydantic_settings import BaseSettings, SettingsConfigDict

from hingesill_core.findings import Findings
from hingesill_node.settings import Settings

__all__ = ["ENVIRONMENT_PREFIX", "load_settings"]

ENVIRONMENT_PREFIX = "HINGESILL_"


class EnvironmentSettings(Settings, BaseSettings):
    """Settings whose fields may also come from environment variables."""

    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra="forbid", frozen=True
    )


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
    findings = Findings()
    for name in flags:
        if name not in Settings.model_fields:
            findings.add(f"--{name}", "there is no such setting")
    for variable in os.environ:
        name = variable.removeprefix(ENVIRONMENT_PREFIX).lower()
        is_ours = variable.startswith(ENVIRONMENT_PREFIX)
        if is_ours and name not in Settings.model_fields:
            findings.add(variable, "there is no such setting")
    if findings:
        return findings
    try:
        return EnvironmentSettings(
            **{name: str(value) for name, value in flags.items()}
        )
    except ValidationError as error:
        for item in error.errors():
            findings.add(name_place(item["loc"], flags), item["msg"])
        return findings


def name_place(location, flags):
    """Return the flag or variable that a finding is about."""
    if not location:
        return "settings"
    name = str(location[0])
    return f"--{name}" if name in flags else f"{ENVIRONMENT_PREFIX}{name.upper()}"
