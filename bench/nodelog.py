"""Times at which revisions came into force, read from the logs of nodes."""

import json
from dataclasses import dataclass, field
from datetime import datetime

from hingesill_node.telemetry.events import Event

__all__ = ["InForce", "read_in_force"]

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass
class InForce:
    """Configuration events from the logs of a fleet; times in seconds.

    Attributes
    ----------
    accepted : dict
        Time at which each revision was accepted.
    nodes : dict
        Per node, the time at which each revision came into force.
    reverts : int
        Number of times that a node's revision went back.
    """

    accepted: dict = field(default_factory=dict)
    nodes: dict = field(default_factory=dict)
    reverts: int = 0

    def measure(self, revision, names):
        """Return the seconds until a revision was in force at each node.

        A node that skipped the revision counts from its first newer one; a node
        that never reached it counts as infinity.
        """
        start = self.accepted[revision]
        seconds = []
        for name in names:
            later = [at for r, at in self.nodes.get(name, {}).items() if r >= revision]
            seconds.append(min(later, default=float("inf")) - start)
        return seconds


def read_lines(file):
    """Yield the events of a log file."""
    for line in file.read_text(errors="replace").splitlines():
        if line.startswith("{"):
            try:
                yield json.loads(line)
            except ValueError:
                continue  # A killed node may leave an incomplete last line.


def read_in_force(files):
    """Read the configuration events from log files by node name."""
    found = InForce()
    for name, file in files.items():
        in_force_at = found.nodes.setdefault(name, {})
        newest = 0
        for event in read_lines(file):
            at = datetime.strptime(event["asctime"], TIME_FORMAT).timestamp()
            if event["event"] == Event.CHANGE_ACCEPTED.number:
                found.accepted.setdefault(event["revision"], at)
            if event["event"] == Event.CONFIGURATION_IN_FORCE.number:
                found.reverts += event["revision"] < newest
                newest = max(newest, event["revision"])
                in_force_at.setdefault(event["revision"], at)
    return found
