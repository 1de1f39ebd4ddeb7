"""Limit on the sends of a node to an endpoint that is warming up.

The scenario: the endpoints of a data centre return together and cold, right before a
burst, and callers retry without a pause. A cold endpoint can serve a few requests a
second from all nodes together and fails well above that rate. The nodes cannot
coordinate in time, as load shifts in milliseconds; so each node applies three rules on
its own:

- It sends only right after the endpoint reported that no request is running there. A
  running request thus keeps all other nodes away, so that the endpoint's own service
  time limits the rate.
- It sends at most at the endpoint's rate. This alone limits the sends of one node.
- It uses only a share of the opportunities that its load queries yield, so that all
  nodes together send no more than the endpoint's rate, however fast it fails. Where
  few nodes are active, or queries are few, the share is 1 and no capacity is unused.

Where all endpoints are cold this costs callers: less capacity is used than exists.
"""

from math import exp

from msgspec import Struct

__all__ = ["WarmUpLimit"]

# Window in which load queries are counted, in seconds.
QUERY_WINDOW_SECONDS = 1.0
# Validity of an endpoint's report on its warm-up, in seconds.
REPORT_TTL_SECONDS = 1.0
# Share of the rate that all nodes together aim at; the reserve covers random variation
# and the start of a burst.
TARGET_SHARE = 0.7
# Load queries to an endpoint a second below which the rate is not divided.
MIN_QUERIES_PER_SECOND = 0.001


class WarmUpLimit(Struct):
    """This node's share of the request rate of a cold endpoint.

    Attributes
    ----------
    rate : float
        Requests a second that a cold endpoint can serve from all nodes together; 0 if
        the operator declared none, and then there is no limit.
    nodes : int
        Nodes that share the rate.
    endpoints : int
        Endpoints of the service.
    queries : float
        Load queries of this node in about the last second.
    counted_at : float
        Time of that count, in seconds of the node's clock.
    """

    rate: float = 0.0
    nodes: int = 1
    endpoints: int = 1
    queries: float = 0.0
    counted_at: float = 0.0

    def configure(self, service, fleet):
        """Apply the configuration of the service and the size of the fleet."""
        self.rate = service.warm_up_rate
        self.nodes = max(1, fleet.nodes)
        self.endpoints = max(1, len(service.endpoints))

    def record_queries(self, count, now):
        """Record load queries of this node."""
        self.queries = self._count_queries(now) + count
        self.counted_at = now

    def _count_queries(self, now):
        age = max(0.0, now - self.counted_at)
        return self.queries * exp(-age / QUERY_WINDOW_SECONDS)

    def is_cold(self, state, now):
        """Return whether an endpoint is cold, or may be as its report is too old."""
        if not self.rate:
            return False
        return (
            now < state.warm_at or now - state.warm_up_reported_at > REPORT_TTL_SECONDS
        )

    def allows(self, state, running, now, rng):
        """Return whether this node may send to an endpoint that just reported its load.

        Parameters
        ----------
        state : EndpointState
            State of the endpoint.
        running : int
            Requests running there, by that report.
        now : float
            Seconds of the node's clock.
        rng : random.Random
            Decides which opportunities are used.
        """
        if not self.is_cold(state, now):
            return True
        if running or now - state.last_send_at < 1 / self.rate:
            return False
        return rng.random() < self._get_share(now)

    def _get_share(self, now):
        """Return the share of the opportunities that this node may use."""
        query_rate = self._count_queries(now) / self.endpoints / QUERY_WINDOW_SECONDS
        return min(
            1.0,
            TARGET_SHARE
            * self.rate
            / (self.nodes * max(query_rate, MIN_QUERIES_PER_SECOND)),
        )

    def allows_without_query(self, state, now, rng):
        """Return whether this node may send to an endpoint that reports no load.

        Notes
        -----
        Only the endpoint's entry is known, so each node uses an equal share at random.
        If each node could save up one request while there is no load, all of these
        could be sent at once.
        """
        if not self.rate:
            return True
        if state.is_entry_new:
            state.is_entry_new = False
            state.record_warm_up(state.entry_warm_in, now)
        if now >= state.warm_at:
            return True
        return state.cold_share.admit(self.rate, self.nodes, now, rng)
