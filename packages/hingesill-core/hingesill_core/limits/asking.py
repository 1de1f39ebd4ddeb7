"""A node's part of the fleet's probe budget, spent by asking endpoints."""

from dataclasses import dataclass

__all__ = ["AskBudget"]

EARNED_SHARE = 0.5
SAVED_SHARE = 0.4
FIRST_SHARE = 0.1


@dataclass(slots=True)
class AskBudget:
    """Tokens that come with time; each question takes one.

    Parameters
    ----------
    rate : float
        Questions a second of this node.
    burst : float
        The most that may be saved up.
    tokens : float or None
        What has been saved up; None until the first budget is known.
    updated_at : float
        When the tokens were last counted, in seconds of the node's clock.
    """

    rate: float = 0.0
    burst: float = 0.0
    tokens: float | None = None
    updated_at: float | None = None

    def set_budget(self, budget, nodes):
        """Put a service's ProbeBudget in force, shared by so many nodes.

        Notes
        -----
        Half of a window's share comes as time passes and most of the rest may
        be saved up. A new process starts with a tenth, so that its first
        requests can ask: no window sees more than its budget, even if each
        node starts anew within it.
        """
        share = budget.per_second * budget.window / max(1, nodes)
        self.rate = EARNED_SHARE * share / budget.window
        self.burst = SAVED_SHARE * share
        first = FIRST_SHARE * share
        self.tokens = first if self.tokens is None else min(self.tokens, self.burst)

    def take(self, wanted, now):
        """Take up to so many tokens; return how many there were."""
        if self.tokens is None:
            return 0
        if self.updated_at is not None:
            earned = max(0.0, now - self.updated_at) * self.rate
            self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken
