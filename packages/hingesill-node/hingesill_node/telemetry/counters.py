"""Counters of requests, refusals, sends and messages, and latency histograms.

The request path adds to plain integers. OpenTelemetry reads them only when metrics
are collected, so that requests bear no cost of an exporter.
"""

from bisect import bisect_left
from collections import Counter, defaultdict

__all__ = ["Counters", "COUNTER_TEXTS", "GAUGE_TEXTS", "LATENCY_BOUNDS"]

COUNTER_TEXTS = {
    "requests": "Requests by service and outcome.",
    "refusals": "Requests refused by the node, by service and reason.",
    "connections": "Connections that ended, by address and how they ended.",
    "retries": "Requests sent again, or not, by service and reason.",
    "sends": "Sends to endpoints by service.",
    "skipped_answers": "Answers dropped: of no request, or an earlier one.",
    "forwards": "Requests forwarded to other nodes, by service and result.",
    "probes": "Probes sent by service.",
    "probes_left_out": "Probes not sent as the connections were used up.",
    "store_calls": "Calls to the platform's key-value service by kind.",
    "store_restores": "Returns of the store from an older copy that were seen.",
    "peer_bytes": "Bytes between nodes by direction.",
    "gossip": "Datagrams between nodes on ended endpoints: told, heard, not valid.",
    "datagrams": "Datagrams to the node that nothing takes: failed, unknown.",
    "limits": "Datagrams between nodes on endpoints' limits: told, heard, not valid.",
    "quota": "Tokens of organisations' quotas, by organisation and event.",
    "introductions": "Datagrams by which nodes introduce themselves to each other.",
    "quota_datagrams": "Datagrams between nodes on quotas: told, heard, not valid.",
    "availability": "Rests that endpoints asked for, and words that they leave.",
    "suspicions": "Overdue answers told to other nodes, and heard of.",
}

GAUGE_TEXTS = {
    "in_flight": "Requests in flight.",
    "request_bytes": "Memory of requests and of answers that callers do not take.",
    "held": "Requests held in the node's queues.",
    "quarantined": "Requests held back as endpoints ended under them, or on trial.",
    "limited_endpoints": "Endpoints that name a limit now.",
    "over_quota": "Organisations over their quota now, as far as this node knows.",
    "quota_waiting": "Requests that wait for a token of their organisation's quota.",
    "resting_endpoints": "Endpoints that asked this node for a rest now.",
    "leaving_endpoints": "Endpoints that told this node that they leave.",
    "unreachable_services": "Services of which no endpoint can be reached from here.",
    "invalid_entries": "Entries of the store that cannot be read, as last read here.",
    "revision": "Revision of the configuration in force.",
    "confirmed_age_seconds": "Age of the store's last word that it is the newest.",
}


# Upper bounds of the latency histogram's buckets, in seconds. The latency targets of
# users' routes lie between 0.2 and 1 s.
LATENCY_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0)


class Latencies:
    """Latency histogram of the answers of one service."""

    def __init__(self):
        self.buckets = [0] * (len(LATENCY_BOUNDS) + 1)
        self.total = 0.0

    def record(self, seconds):
        """Add the latency of one answer."""
        self.buckets[bisect_left(LATENCY_BOUNDS, seconds)] += 1
        self.total += seconds


class Counters:
    """Counts by (counter, subject, reason), and latency histograms by service.

    The subject is a service or a kind of message.
    """

    def __init__(self):
        self.counts = Counter()
        self.latencies = defaultdict(Latencies)

    def add(self, name, subject, reason="", amount=1):
        """Add to one count; thread-safe because of the global interpreter lock."""
        self.counts[(name, subject, reason)] += amount

    def sum_by_name(self):
        """Return the totals by counter and reason, for a status report."""
        totals = Counter()
        for (name, _, reason), amount in list(self.counts.items()):
            totals[f"{name}.{reason}" if reason else name] += amount
        return dict(totals)

    def list_counts(self, name):
        """Return (subject, reason, amount) for each count of one counter."""
        return [
            (subject, reason, amount)
            for (counter, subject, reason), amount in list(self.counts.items())
            if counter == name
        ]
