"""A node's part of the fleet's probe budget, spent by asking endpoints."""

from msgspec import Struct, field

__all__ = ["QueryBudget"]

# Of a window's budget: what comes as time passes, what may be saved up, and
# what a new process starts with. Together no window sees more than its budget,
# even if each node starts anew within it.
EARNED_SHARE = 0.75
SAVED_SHARE = 0.2
FIRST_SHARE = 0.05


class QueryBudget(Struct):
    """Tokens that come with time; each question takes one.

    Attributes
    ----------
    parts : dict
        Questions in a window that each service adds, for this node.
    rate : float
        Questions a second of this node.
    burst : float
        The most that may be saved up.
    tokens : float
        What has been saved up.
    updated_at : float or None
        When the tokens were last counted, in seconds of the node's clock.
    """

    parts: dict = field(default_factory=dict)
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    updated_at: float | None = None

    def set_part(self, service, budget, nodes):
        """Put a service's ProbeBudget in force, shared by so many nodes."""
        part = budget.per_second * budget.window / max(1, nodes)
        if service not in self.parts:
            self.tokens += FIRST_SHARE * part
        self.parts[service] = part
        total = sum(self.parts.values())
        self.rate = EARNED_SHARE * total / budget.window
        self.burst = SAVED_SHARE * total
        self.tokens = min(self.tokens, self.burst)

    def take(self, wanted, now):
        """Take up to so many tokens; return how many there were."""
        if self.updated_at is not None:
            earned = max(0.0, now - self.updated_at) * self.rate
            self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken
