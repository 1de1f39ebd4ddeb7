"""Gossip that reaches all nodes, without relays and without the store."""

from math import ceil, log2

from msgspec import Struct

__all__ = ["Gossip", "MAX_GOSSIP_ITEMS", "GOSSIP_FAN_OUT", "GOSSIP_INTERVAL_SECONDS"]

# Interval between gossip rounds, in seconds.
GOSSIP_INTERVAL_SECONDS = 0.1
# Number of nodes to which items are sent in a round.
GOSSIP_FAN_OUT = 2
# Rounds in addition to the logarithm of the fleet size, for nodes that the random
# choice of peers has missed.
EXTRA_ROUNDS = 3
# Maximum number of items in a datagram, so that it fits into 1,400 bytes.
MAX_GOSSIP_ITEMS = 10
# Maximum number of items that wait to be sent.
MAX_PENDING_ITEMS = 256


class PendingItem(Struct):
    """Priority of an item and the number of rounds in which it is still sent."""

    priority: int
    rounds: int


class Gossip:
    """The items that a node sends to randomly chosen peers.

    Parameters
    ----------
    rng : random.Random
        Chooses the peers.
    max_items : int
        Maximum number of items in a datagram.
    """

    def __init__(self, rng, max_items=MAX_GOSSIP_ITEMS):
        self._rng = rng
        self._max_items = max_items
        self._pending = {}

    def __len__(self):
        return len(self._pending)

    def add(self, item, nodes, priority=0):
        """Send an item in the coming rounds.

        Parameters
        ----------
        item : hashable
            An item that is pending already starts again with all its rounds.
        nodes : int
            Number of nodes in the fleet.
        priority : int
            Items with the highest priority are sent first; if too many are pending,
            one with the lowest priority is dropped.
        """
        if item not in self._pending and len(self._pending) >= MAX_PENDING_ITEMS:
            lowest = min(self._pending, key=lambda known: self._pending[known].priority)
            if self._pending[lowest].priority > priority:
                return
            del self._pending[lowest]
        self._pending[item] = PendingItem(priority, count_rounds(nodes))

    def record_duplicate(self, item):
        """Send an item in one round less, as a peer that sent it knows it already."""
        pending = self._pending.get(item)
        if pending is None:
            return
        pending.rounds -= 1
        if pending.rounds <= 0:
            del self._pending[item]

    def start_round(self, peers):
        """Return the peers of this round and the items to send to them.

        Parameters
        ----------
        peers : sequence
            All other nodes.
        """
        ordered = sorted(self._pending.items(), key=lambda pair: -pair[1].priority)
        items = []
        for item, pending in ordered[: self._max_items]:
            items.append(item)
            pending.rounds -= 1
            if pending.rounds <= 0:
                del self._pending[item]
        count = min(GOSSIP_FAN_OUT, len(peers))
        return self._rng.sample(peers, count), items


def count_rounds(nodes):
    """Return the number of rounds in which a node sends an item."""
    return ceil(log2(max(2, nodes))) + EXTRA_ROUNDS
