"""Generate the pages of settings and log events from the code."""

from pathlib import Path

from msgspec import NODEFAULT, Meta
from msgspec.structs import fields

from hingesill_node.environment import ENVIRONMENT_PREFIX
from hingesill_node.settings import Settings
from hingesill_node.telemetry.events import Event

DOCS = Path(__file__).parent.parent / "docs"

SETTINGS_HEAD = """# Settings of hingesilld

Made from `hingesill_node/settings.py` by `make docs`; CI compares. A flag goes
before the environment variable, which goes before the default. A setting that is
unknown or not valid ends the start with exit code 2 and one line a finding; an
address that cannot be listened on ends it with 3.

| flag | variable | default | meaning |
|---|---|---|---|
"""

EVENTS_HEAD = """# Log events

Made from `hingesill_node/telemetry/events.py` by `make docs`; CI compares. Logs are
JSON lines on the standard output; `event` is the number, which never changes its
meaning.

| number | level | event |
|---|---|---|
"""


def build_settings_page():
    """Return the page of settings."""
    rows = []
    for field in fields(Settings):
        default = field.default
        shown = "made new" if default is NODEFAULT else f"`{default}`"
        if default == "":
            shown = "empty"
        flag = f"`--{field.name.replace('_', '-')}`"
        variable = f"`{ENVIRONMENT_PREFIX}{field.name.upper()}`"
        rows.append(f"| {flag} | {variable} | {shown} | {find_description(field)} |")
    return SETTINGS_HEAD + "\n".join(rows) + "\n"


def find_description(field):
    """Return the description of a field of the settings."""
    (meta,) = (m for m in field.type.__metadata__ if isinstance(m, Meta))
    return meta.description


def build_events_page():
    """Return the page of log events."""
    rows = [
        f"| {event.number} | {name_level(event.level)} | {event.text} |"
        for event in Event
    ]
    return EVENTS_HEAD + "\n".join(rows) + "\n"


def name_level(level):
    """Return a level's name in lower case."""
    return {20: "info", 30: "warning", 40: "error"}[level]


def main():
    """Write both pages."""
    (DOCS / "SETTINGS.md").write_text(build_settings_page())
    (DOCS / "EVENTS.md").write_text(build_events_page())


if __name__ == "__main__":
    main()
