"""A node's share of the fleet's probe budget, spent on load queries."""

from msgspec import Struct, field

__all__ = ["QueryBudget"]

# Shares of a window's budget: refill over time, capacity of the bucket, and initial
# tokens of a new process. Their sum keeps every window within its budget, even if
# each node restarts within it.
REFILL_SHARE = 0.75
BURST_SHARE = 0.2
INITIAL_SHARE = 0.05


class QueryBudget(Struct):
    """A token bucket for load queries.

    Attributes
    ----------
    window_queries : dict
        Queries per window that each service contributes at this node.
    rate : float
        Queries a second of this node.
    burst : float
        Capacity of the bucket.
    tokens : float
        Tokens available.
    updated_at : float or None
        Time of the last refill, in seconds of the node's clock.
    """

    window_queries: dict = field(default_factory=dict)
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    updated_at: float | None = None

    def set_service_budget(self, service, budget, nodes):
        """Apply a service's ProbeBudget, divided evenly among the nodes."""
        queries = budget.per_second * budget.window / max(1, nodes)
        if service not in self.window_queries:
            self.tokens += INITIAL_SHARE * queries
        self.window_queries[service] = queries
        total = sum(self.window_queries.values())
        self.rate = REFILL_SHARE * total / budget.window
        self.burst = BURST_SHARE * total
        self.tokens = min(self.tokens, self.burst)

    def acquire(self, wanted, now, reserve=0):
        """Acquire tokens.

        Parameters
        ----------
        wanted : int
            Maximum number of tokens.
        now : float
            Seconds of the node's clock.
        reserve : int
            Tokens that are left for others, at most half of the capacity.

        Returns
        -------
        int
            Number of tokens that were available.
        """
        if self.updated_at is not None:
            earned = max(0.0, now - self.updated_at) * self.rate
            self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now
        reserve = min(reserve, self.burst / 2)
        taken = max(0, min(wanted, int(self.tokens - reserve)))
        self.tokens -= taken
        return taken
