"""Counters of everything that was answered, refused and sent again.

The request path adds to plain integers; OpenTelemetry reads them when it is
asked, so that a request pays for no exporter.
"""

from collections import Counter

__all__ = ["Counters", "COUNTER_TEXTS", "GAUGE_TEXTS"]

COUNTER_TEXTS = {
    "requests": "Requests by service and outcome.",
    "refusals": "Requests refused by the node, by service and reason.",
    "retries": "Requests sent again, or not, by service and reason.",
    "sends": "Sends to endpoints by service.",
    "probes": "Probes sent by service.",
    "probes_left_out": "Probes not sent as the connections were used up.",
    "store_calls": "Calls to the platform's key-value service by kind.",
    "peer_bytes": "Bytes between nodes by direction.",
    "suspicions": "Overdue answers told to other nodes, and heard of.",
}

GAUGE_TEXTS = {
    "in_flight": "Requests in flight.",
    "held": "Requests held in the node's queues.",
    "revision": "Revision of the configuration in force.",
    "confirmed_age_seconds": "Age of the store's last word that it is the newest.",
}


class Counters:
    """Counts by (counter, service or kind, reason)."""

    def __init__(self):
        self.counts = Counter()

    def add(self, name, subject, reason="", amount=1):
        """Add to one count; safe between threads under the interpreter's lock."""
        self.counts[(name, subject, reason)] += amount

    def sum_by_name(self):
        """Return the totals by counter and reason, for a status."""
        totals = Counter()
        for (name, _, reason), amount in list(self.counts.items()):
            totals[f"{name}.{reason}" if reason else name] += amount
        return dict(totals)

    def list_counts(self, name):
        """Return (subject, reason, amount) of each count of one counter."""
        return [
            (subject, reason, amount)
            for (counter, subject, reason), amount in list(self.counts.items())
            if counter == name
        ]
