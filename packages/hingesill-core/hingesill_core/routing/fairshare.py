"""Fair shares of a node's capacity between organisations."""

from math import exp

from msgspec import Struct, field

__all__ = ["EXCESS_LEVEL", "FairShares", "compute_fair_level"]

# Level of requests beyond their organisation's fair share.
EXCESS_LEVEL = 2
# Time constant at which demand and served work decay, in seconds: a node of a large
# fleet sees an organisation every few seconds.
DECAY_SECONDS = 10.0
# Demand below which an organisation is forgotten, in seconds of work.
MIN_DEMAND = 1e-4


class FairShares(Struct):
    """Decaying demand of each organisation, and work served, at one node.

    Attributes
    ----------
    demand : dict
        Seconds of work that arrived, by the organisation's name.
    served : float
        Seconds of work sent to endpoints, of all organisations.
    updated_at : float
        Time of the last decay, in seconds of the node's clock.
    """

    demand: dict = field(default_factory=dict)
    served: float = 0.0
    updated_at: float = 0.0

    def record_send(self, work, now):
        """Record work in seconds that was sent to an endpoint."""
        self._decay(now)
        self.served += work

    def get_level(self, name, work, now, rng, is_return=False):
        """Return how much of its fair share an organisation uses before a request.

        Parameters
        ----------
        name : str
            The organisation.
        work : float
            Usual seconds from a send to the answer.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Divides the organisation's requests between the levels.
        is_return : bool
            Whether the caller returns after a refusal, which is no further demand.

        Returns
        -------
        int
            0 in the first half of the share, 1 in the second, `EXCESS_LEVEL` beyond.
        """
        self._decay(now)
        own = self.demand.get(name, 0.0) + work
        if not is_return:
            self.demand[name] = own
        share = compute_fair_level(self.demand.values(), self.served)
        if share <= 0:
            return 0
        return min(EXCESS_LEVEL, int(EXCESS_LEVEL * rng.random() * own / share))

    def _decay(self, now):
        factor = exp((self.updated_at - now) / DECAY_SECONDS)
        self.updated_at = now
        self.served *= factor
        self.demand = {
            name: demand * factor
            for name, demand in self.demand.items()
            if demand * factor > MIN_DEMAND
        }


def compute_fair_level(demands, capacity):
    """Return the max-min fair share: what each may use at most so that all fit.

    Parameters
    ----------
    demands : iterable of float
        Demand of each organisation.
    capacity : float
        Capacity for all of them, in the same unit.
    """
    demands = sorted(demands)
    for position, demand in enumerate(demands):
        share = capacity / (len(demands) - position)
        if demand >= share:
            return share
        capacity -= demand
    return demands[-1] if demands else 0.0
