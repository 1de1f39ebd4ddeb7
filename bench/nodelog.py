"""Reading nodes' log events: when a revision came into force where."""

import json
from dataclasses import dataclass, field
from datetime import datetime

from hingesill_node.telemetry.events import Event

__all__ = ["InForce", "read_in_force"]

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass
class InForce:
    """What the logs of a fleet tell of its configurations; times in seconds.

    Attributes
    ----------
    accepted : dict
        When each revision was accepted.
    nodes : dict
        For each node, when each revision came into force.
    reverts : int
        How often a node's revision went back.
    """

    accepted: dict = field(default_factory=dict)
    nodes: dict = field(default_factory=dict)
    reverts: int = 0

    def measure(self, revision, names):
        """Return the seconds until a revision was in force, one a node.

        A node that went from an older to a newer one has it from then on; one
        that never came to it counts as infinity.
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
                continue  # The last line of a node that was killed.


def read_in_force(files):
    """Return the InForce of log files by node's name."""
    found = InForce()
    for name, file in files.items():
        held = found.nodes.setdefault(name, {})
        newest = 0
        for event in read_lines(file):
            at = datetime.strptime(event["asctime"], TIME_FORMAT).timestamp()
            if event["event"] == Event.CHANGE_ACCEPTED.number:
                found.accepted.setdefault(event["revision"], at)
            if event["event"] == Event.CONFIGURATION_IN_FORCE.number:
                found.reverts += event["revision"] < newest
                newest = max(newest, event["revision"])
                held.setdefault(event["revision"], at)
    return found
