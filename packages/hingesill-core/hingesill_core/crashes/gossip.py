"""Spreading news to all nodes, without relays and without the store."""

from math import ceil, log2

from msgspec import Struct

__all__ = ["Gossip", "MAX_GOSSIP_ITEMS", "GOSSIP_FAN_OUT", "GOSSIP_INTERVAL_SECONDS"]

# Interval of gossip rounds, in seconds.
GOSSIP_INTERVAL_SECONDS = 0.1
# Fan-out: nodes to which news is sent in a round.
GOSSIP_FAN_OUT = 2
# Rounds beyond the logarithm of the fleet, for nodes that random choice left out.
MORE_ROUNDS = 3
# Most pieces of news in a datagram, so that it fits into 1,400 bytes.
MAX_GOSSIP_ITEMS = 10
# Most pieces of news that wait to be passed on.
MOST_WAITING = 256


class Rumour(Struct):
    """A piece of news with the rounds in which it is still passed on."""

    rank: int
    rounds: int


class Gossip:
    """The news that a node passes on, and to whom.

    Parameters
    ----------
    rng : random.Random
        Chooses the nodes.
    most_told : int
        Pieces of news in a datagram.
    """

    def __init__(self, rng, most_told=MAX_GOSSIP_ITEMS):
        self._rng = rng
        self._most_told = most_told
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def add(self, news, nodes, rank=0):
        """Pass a piece of news on from the next round.

        Parameters
        ----------
        news : hashable
            Any one that was added before is begun anew.
        nodes : int
            Of the fleet.
        rank : int
            Of the highest most are passed on where there is too much.
        """
        if news not in self._waiting and len(self._waiting) >= MOST_WAITING:
            lowest = min(self._waiting, key=lambda known: self._waiting[known].rank)
            if self._waiting[lowest].rank > rank:
                return
            del self._waiting[lowest]
        self._waiting[news] = Rumour(rank, count_rounds(nodes))

    def record_duplicate(self, news):
        """Pass a piece of news on once less: a node that told of it knew it already."""
        rumour = self._waiting.get(news)
        if rumour is None:
            return
        rumour.rounds -= 1
        if rumour.rounds <= 0:
            del self._waiting[news]

    def start_round(self, peers):
        """Return the peers to tell now, and the news for them.

        Parameters
        ----------
        peers : sequence
            All other nodes.
        """
        ranked = sorted(self._waiting.items(), key=lambda pair: -pair[1].rank)
        news = []
        for piece, rumour in ranked[: self._most_told]:
            news.append(piece)
            rumour.rounds -= 1
            if rumour.rounds <= 0:
                del self._waiting[piece]
        count = min(GOSSIP_FAN_OUT, len(peers))
        return self._rng.sample(peers, count), news


def count_rounds(nodes):
    """Return the rounds in which a node passes a piece of news on."""
    return ceil(log2(max(2, nodes))) + MORE_ROUNDS
