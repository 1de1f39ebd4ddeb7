"""Taking changed settings into a node that runs."""

import eventlet

from hingesill_core.findings import Findings
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Reloader", "find_changes"]

# The settings file may change without a signal.
REVIEW_SECONDS = 5.0


class Reloader:
    """Reads the settings again, on a signal and now and then.

    Parameters
    ----------
    settings : Settings
        In force.
    load : callable
        Returns Settings or Findings.
    apply : callable
        Called with the new settings; returns the names of those that are now in
        force. The others take effect at the next start.
    """

    def __init__(self, settings, load, apply):
        self.settings = settings
        self.load = load
        self.apply = apply
        self.is_asked = False

    def ask(self, *_):
        """Have the settings read soon; a signal handler."""
        self.is_asked = True

    def run(self):
        """Work until the process ends."""
        while True:
            asked, self.is_asked = self.is_asked, False
            self.review(asked)
            eventlet.sleep(REVIEW_SECONDS)

    def review(self, asked):
        """Read the settings; put in force what has changed."""
        found = self.load()
        if isinstance(found, Findings):
            log_event(Event.RELOAD_REFUSED, findings=[str(item) for item in found])
            return
        changed = find_changes(self.settings, found)
        if not changed and not asked:
            return
        in_force = self.apply(found) if changed else []
        waiting = [name for name in changed if name not in in_force]
        self.settings = found
        log_event(Event.RELOADED, asked=asked, in_force=in_force, at_next_start=waiting)


def find_changes(old, new):
    """Return the names of the settings that differ, but for the process's name."""
    names = type(new).__struct_fields__
    return [
        name
        for name in names
        if name != "name" and getattr(old, name) != getattr(new, name)
    ]
