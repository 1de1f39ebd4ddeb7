"""The relays, which watch the store for other nodes; each node computes them."""

from msgspec import Struct, field

__all__ = ["RelayChoice", "list_relays"]

# Nodes of a data centre per relay there. A relay then sends 200 heartbeats of a few
# bytes per second to all of its followers together.
NODES_PER_RELAY = 80
# Initial and longest back-off of a relay that failed, in seconds; it doubles with each
# further failure.
INITIAL_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 1.2


def list_relays(nodes):
    """Return the relays of all data centres.

    Parameters
    ----------
    nodes : iterable of NodeRecord
        All registered nodes.

    Notes
    -----
    All nodes compute the same relays from the same entries, so no election is needed.
    The relays of a data centre are its strongest nodes; equally strong nodes are
    ordered by name.
    """
    by_data_centre = {}
    for node in nodes:
        by_data_centre.setdefault(node.data_centre, []).append(node)
    relays = []
    for _, members in sorted(by_data_centre.items()):
        members.sort(key=lambda node: (-node.strength, node.name))
        relays.extend(members[: 1 + len(members) // NODES_PER_RELAY])
    return relays


class RelayChoice(Struct):
    """Selects the relay that a node follows.

    Parameters
    ----------
    own : NodeRecord
        The node's own entry.
    rng : random.Random
        Spreads nodes over equally good relays.

    Attributes
    ----------
    backoff_until : dict
        Until when a relay that failed is skipped, by name, in seconds of the node's
        clock.
    failures : dict
        Consecutive failures by name.

    Notes
    -----
    `is_relay` is called for each frame that a node receives, so the relays are cached
    for the same nodes.
    """

    own: object
    rng: object
    backoff_until: dict = field(default_factory=dict)
    failures: dict = field(default_factory=dict)
    _nodes: dict | None = None
    _relays: list = field(default_factory=list)

    def is_relay(self, nodes):
        """Return whether this node watches the store for other nodes.

        Parameters
        ----------
        nodes : dict
            See `choose`.
        """
        return any(relay.name == self.own.name for relay in self._get_relays(nodes))

    def _get_relays(self, nodes):
        """Return the relays among nodes; compute them again if the nodes changed."""
        if nodes is not self._nodes:
            self._nodes = nodes
            self._relays = list_relays(nodes.values())
        return self._relays

    def choose(self, nodes, now):
        """Return the relay to follow now, or None to watch the store directly.

        Parameters
        ----------
        nodes : dict
            NodeRecord of all registered nodes by name; it is replaced, never changed.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        Relays in the node's own data centre are preferred. A relay follows no other
        node, so that no two nodes ever follow each other.
        """
        relays = self._get_relays(nodes)
        if any(relay.name == self.own.name for relay in relays):
            return None
        usable = [
            relay for relay in relays if self.backoff_until.get(relay.name, now) <= now
        ]
        local = [r for r in usable if r.data_centre == self.own.data_centre]
        choices = local or usable
        return self.rng.choice(choices) if choices else None

    def record_failure(self, relay, now):
        """Skip a relay for its back-off; ``now`` is in seconds of the node's clock."""
        failures = self.failures.get(relay.name, 0)
        self.failures[relay.name] = failures + 1
        backoff = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**failures)
        self.backoff_until[relay.name] = now + backoff

    def record_success(self, relay):
        """Reset the failures of a relay that serves this node."""
        self.failures.pop(relay.name, None)

    def reset_failures(self):
        """Reset all back-offs, as the cause of the failures may be over."""
        self.failures.clear()
        self.backoff_until.clear()
