"""Decisions on quotas that tests set."""

from collections import deque

from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus, QuotaTolerance
from hingesill_node.quotas.gate import QuotaGate
from hingesill_node.telemetry.counters import Counters

__all__ = ["FakeQuotas", "build_gate"]


class FakeQuotas:
    """A number of tokens by organisation, in place of a FleetQuotas.

    Parameters
    ----------
    tokens : int
        Tokens of each organisation.
    """

    usage = {}

    def __init__(self, tokens=0):
        self.initial = tokens
        self.tokens = {}
        self.waits = False
        self.waiting = 0
        self.decisions = deque()

    def get_tokens(self, name):
        return self.tokens.setdefault(name, self.initial)

    def configure(self, organisations, now):
        pass

    def is_idle(self, now):
        return True

    def acquire(self, name, now):
        if self.get_tokens(name) > 0:
            self.tokens[name] -= 1
            return QuotaDecision(QuotaStatus.ADMITTED)
        if self.waits:
            self.waiting += 1
            return QuotaDecision(QuotaStatus.WAITING)
        return QuotaDecision(QuotaStatus.REFUSED, 0.25)

    def resume(self, name, now):
        found = list(self.decisions)[: self.waiting]
        self.decisions.clear()
        self.waiting -= len(found)
        return found

    def give_back(self, name, now):
        self.tokens[name] = self.get_tokens(name) + 1


def build_gate(quotas, clock):
    """Return a QuotaGate with the platform's tolerance that counts its events."""
    gate = QuotaGate(None, QuotaTolerance(), clock, quotas)
    gate.labels.counters = Counters()
    return gate
