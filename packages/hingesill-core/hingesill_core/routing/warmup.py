"""How often a node sends to an endpoint that is warming up.

The load: a data centre's endpoints come back at once and cold, right before a burst,
and callers repeat without a pause. A cold endpoint bears a few requests a second from
all nodes together and falls over well above that. The nodes cannot agree on who sends
in time, as its load shifts in milliseconds; so three rules hold at each node by itself:

- It sends only right after the endpoint said that nothing is running there. What it
  works on then keeps all other nodes away, so that its own pace is the limit.
- It sends at most as often as the endpoint bears. This alone is the bound of one node.
- It takes only a share of the chances that its questions bring, so that all nodes
  together take no more than the endpoint bears, however fast it fails. Where few nodes
  are busy, or questions are few, the share is whole and nothing is left unused.

Where all endpoints are cold this costs callers: less is used than the endpoints bear.
"""

from math import exp

from msgspec import Struct

__all__ = ["WarmUpLimit"]

# Window in which load queries are counted, in seconds.
COUNTED_SECONDS = 1.0
# Time for which an endpoint's report on its warmth is valid, in seconds.
WORD_HOLDS = 1.0
# Share of the rate that all nodes together aim at; the reserve covers random variation
# and the start of a burst.
USED_SHARE = 0.7
# Load queries to an endpoint a second below which the rate is not shared out.
LEAST_OWN = 0.001


class WarmUpLimit(Struct):
    """The part of a cold endpoint's bound that this node takes.

    Attributes
    ----------
    rate : float
        Requests a second that a cold endpoint bears from all nodes together; 0 if the
        operator declared none, and then there is no limit.
    nodes : int
        That share it.
    endpoints : int
        Of the service.
    questions : float
        Questions of this node in about the last second.
    counted_at : float
        When they were counted, in seconds of the node's clock.
    """

    rate: float = 0.0
    nodes: int = 1
    endpoints: int = 1
    questions: float = 0.0
    counted_at: float = 0.0

    def configure(self, service, fleet):
        """Put a declaration and a view of the fleet in force."""
        self.rate = service.warm_up_rate
        self.nodes = max(1, fleet.nodes)
        self.endpoints = max(1, len(service.endpoints))

    def record_queries(self, count, now):
        """Take note of questions that this node asks."""
        self.questions = self._count_questions(now) + count
        self.counted_at = now

    def _count_questions(self, now):
        age = max(0.0, now - self.counted_at)
        return self.questions * exp(-age / COUNTED_SECONDS)

    def is_cold(self, state, now):
        """Tell whether an endpoint is cold, or may be as it did not tell for long."""
        if not self.rate:
            return False
        return now < state.warm_at or now - state.warm_up_reported_at > WORD_HOLDS

    def allows(self, state, running, now, rng):
        """Tell whether this node may send to an endpoint that just told its load.

        Parameters
        ----------
        state : EndpointState
            Of the endpoint.
        running : int
            Requests that are there, by its fresh word.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Decides which chances are taken.
        """
        if not self.is_cold(state, now):
            return True
        if running or now - state.last_send_at < 1 / self.rate:
            return False
        return rng.random() < self._get_share(now)

    def _get_share(self, now):
        """Return which share of the chances is this node's."""
        own = self._count_questions(now) / self.endpoints / COUNTED_SECONDS
        return min(1.0, USED_SHARE * self.rate / (self.nodes * max(own, LEAST_OWN)))

    def allows_without_query(self, state, now, rng):
        """Tell whether this node may send to an endpoint that tells no load.

        Notes
        -----
        Nothing is known but its entry, so each node takes an even part by chance: one
        request each, saved up while callers rest, would all come at once.
        """
        if not self.rate:
            return True
        if state.is_entry_new:
            state.is_entry_new = False
            state.record_warm_up(state.entered_warm_in, now)
        if now >= state.warm_at:
            return True
        return state.cold_share.take(self.rate, self.nodes, now, rng)
