"""Which nodes watch the store for others: the relays, worked out by each node."""

from msgspec import Struct, field

__all__ = ["RelayChoice", "list_relays"]

# Followers of one relay, counted by the nodes of its data centre: 200 heartbeats of a
# few bytes a second.
NODES_A_RELAY = 80
# Initial and longest back-off of a relay that failed, in seconds; it doubles with each
# further failure.
FIRST_REST = 0.3
LONGEST_REST = 1.2


def list_relays(nodes):
    """Return the relays among nodes, those of all data centres.

    Parameters
    ----------
    nodes : iterable of NodeRecord
        All that are entered.

    Notes
    -----
    All nodes work out the same from the same entries, so nothing has to be
    agreed. The strongest of each data centre are taken; those that are equally
    strong by their names.
    """
    by_data_centre = {}
    for node in nodes:
        by_data_centre.setdefault(node.data_centre, []).append(node)
    relays = []
    for members in by_data_centre.values():
        members.sort(key=lambda node: (-node.strength, node.name))
        relays.extend(members[: 1 + len(members) // NODES_A_RELAY])
    return relays


class RelayChoice(Struct):
    """Whom one node follows.

    Parameters
    ----------
    own : NodeRecord
        The node's own entry.
    rng : random.Random
        Spreads nodes over equally good relays.

    Attributes
    ----------
    backoff_until : dict
        Until when a relay that failed is passed over, by name, in seconds of the
        node's clock.
    failures : dict
        Failures in a row by name.

    Notes
    -----
    Whether a node is a relay is asked for each frame that it gets, so the relays are
    worked out only once for the same nodes.
    """

    own: object
    rng: object
    backoff_until: dict = field(default_factory=dict)
    failures: dict = field(default_factory=dict)
    _nodes: dict | None = None
    _relays: list = field(default_factory=list)

    def is_relay(self, nodes):
        """Tell whether this node watches the store for others.

        Parameters
        ----------
        nodes : dict
            See `choose`.
        """
        return any(relay.name == self.own.name for relay in self._list(nodes))

    def _list(self, nodes):
        """Return the relays among nodes, worked out anew if these are others."""
        if nodes is not self._nodes:
            self._nodes = nodes
            self._relays = list_relays(nodes.values())
        return self._relays

    def choose(self, nodes, now):
        """Return the relay to follow now, or None to watch the store oneself.

        Parameters
        ----------
        nodes : dict
            All NodeRecords that are entered, by name; it is replaced, never changed.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        One in the own data centre goes before all others. A relay follows
        nobody, so that no two nodes ever follow each other.
        """
        relays = self._list(nodes)
        if any(relay.name == self.own.name for relay in relays):
            return None
        usable = [
            relay for relay in relays if self.backoff_until.get(relay.name, now) <= now
        ]
        near = [r for r in usable if r.data_centre == self.own.data_centre]
        choices = near or usable
        return self.rng.choice(choices) if choices else None

    def record_failure(self, relay, now):
        """Pass a relay over from ``now`` on, in seconds of the node's clock."""
        failures = self.failures.get(relay.name, 0)
        self.failures[relay.name] = failures + 1
        rest = min(LONGEST_REST, FIRST_REST * 2**failures)
        self.backoff_until[relay.name] = now + rest

    def record_success(self, relay):
        """Forget the failures of a relay that serves this node."""
        self.failures.pop(relay.name, None)

    def forget_failures(self):
        """Try all relays again: what kept them from serving may be over."""
        self.failures.clear()
        self.backoff_until.clear()
