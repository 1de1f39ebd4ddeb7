"""Fair shares of a node's capacity between organisations."""

from math import exp

from msgspec import Struct, field

__all__ = ["EXCESS_LEVEL", "GUARANTEED_LEVEL", "FairShares", "compute_fair_level"]

# Level of an organisation whose whole demand is well below the fair share.
GUARANTEED_LEVEL = 0
# Level of requests within their organisation's fair share, and beyond it.
SHARE_LEVEL = 1
EXCESS_LEVEL = 2
# Share of the fair share up to which an organisation is guaranteed its demand. With 0.5
# a node that sees few requests of each takes some small organisations for large ones.
MAX_GUARANTEED_SHARE = 0.75
# Time constant at which demand and served work decay, in seconds: a node of a large
# fleet sees an organisation every few seconds, and with 10 s levels vary by chance.
DECAY_SECONDS = 20.0
# Change of the work of an endpoint by one load reply. A node gets 10 to 30 of them a
# second under load.
REPLY_GAIN = 0.05
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
    endpoint_work : float
        Seconds of work that an endpoint does in a second, by load replies.
    endpoints_per_node : float
        Endpoints of the service divided by the nodes.
    fleet_served : float
        Seconds of work that a node of the fleet served on average.
    updated_at : float
        Time of the last decay, in seconds of the node's clock.
    """

    demand: dict = field(default_factory=dict)
    served: float = 0.0
    endpoint_work: float = 0.0
    endpoints_per_node: float = 0.0
    fleet_served: float = 0.0
    updated_at: float = 0.0

    def record_send(self, work, now):
        """Record work in seconds that was sent to an endpoint."""
        self._decay(now)
        self.served += work

    def record_reply(self, running, slowness):
        """Record the requests that run at an endpoint and the slowness of its work.

        Notes
        -----
        Their mean is the work that the endpoint serves. A node's own sends don't tell
        it: under overload, nodes with answers in flight get the slots that these free,
        and others served 0.3 of their part.
        """
        work = running / max(1.0, slowness)
        self.endpoint_work += REPLY_GAIN * (work - self.endpoint_work)

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
            `GUARANTEED_LEVEL`, `SHARE_LEVEL` or `EXCESS_LEVEL`.
        """
        self._decay(now)
        own = self.demand.get(name, 0.0) + work
        if not is_return:
            self.demand[name] = own
        capacity = max(self.served, self.fleet_served)
        share = compute_fair_level(self.demand.values(), capacity)
        if share <= 0:
            return SHARE_LEVEL
        if own <= MAX_GUARANTEED_SHARE * share:
            return GUARANTEED_LEVEL
        return SHARE_LEVEL if rng.random() * own <= share else EXCESS_LEVEL

    def _decay(self, now):
        factor = exp((self.updated_at - now) / DECAY_SECONDS)
        self.updated_at = now
        self.served *= factor
        pace = self.endpoint_work * self.endpoints_per_node
        self.fleet_served += (1 - factor) * (pace * DECAY_SECONDS - self.fleet_served)
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
