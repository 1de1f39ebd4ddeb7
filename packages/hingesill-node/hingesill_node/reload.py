"""Reload of changed settings in a running node."""

import eventlet

from hingesill_core.findings import Findings
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["Reloader", "find_changes"]

# The settings file may change without a signal, so it is also read periodically.
RELOAD_INTERVAL_SECONDS = 5.0


class Reloader:
    """Reloads the settings on a signal and periodically.

    Parameters
    ----------
    settings : Settings
        Settings in force.
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
        self.is_requested = False

    def request_reload(self, *_):
        """Request a reload of the settings; a signal handler."""
        self.is_requested = True

    def run(self):
        """Reload until the process exits."""
        while True:
            requested, self.is_requested = self.is_requested, False
            self.reload(requested)
            eventlet.sleep(RELOAD_INTERVAL_SECONDS)

    def reload(self, requested):
        """Read the settings and apply those that have changed."""
        loaded = self.load()
        if isinstance(loaded, Findings):
            log_event(Event.RELOAD_REFUSED, findings=[str(item) for item in loaded])
            return
        changed = find_changes(self.settings, loaded)
        if not changed and not requested:
            return
        in_force = self.apply(loaded) if changed else []
        deferred = [name for name in changed if name not in in_force]
        self.settings = loaded
        log_event(
            Event.RELOADED, asked=requested, in_force=in_force, at_next_start=deferred
        )


def find_changes(old, new):
    """Return the names of the settings that differ, except the process's name."""
    names = type(new).__struct_fields__
    return [
        name
        for name in names
        if name != "name" and getattr(old, name) != getattr(new, name)
    ]
