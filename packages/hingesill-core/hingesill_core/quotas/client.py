"""Gets tokens for the requests of one organisation at one node."""

from collections import deque
from math import exp

from hingesill_core.quotas.allowance import Allowance
from hingesill_core.quotas.coordinator import MAX_REPLY_AGE_SECONDS, MIN_LEASE_DEMAND
from hingesill_core.quotas.decision import QuotaDecision, QuotaStatus
from hingesill_core.quotas.demand import DemandEstimate
from hingesill_core.quotas.messages import QuotaReport

__all__ = ["MAX_WAIT_SECONDS", "QuotaClient"]

# Time for which a request waits for a token, in seconds. A request beyond its quota has
# to be refused within 20 ms, of which callers and nodes with a slow core take a part:
# with 15 ms, one in 20 refusals reached its caller after more than 20 ms.
MAX_WAIT_SECONDS = 0.012
# Time after which an unanswered request for tokens is repeated, in seconds. A reply
# takes 2 to 4 ms between data centres.
RESEND_SECONDS = 0.005
# Intervals of reports of nodes with many and with few requests, in seconds, and the
# requests per second that separate them.
REPORT_SECONDS = 0.25
SLOW_REPORT_SECONDS = 1.0
FAST_REPORT_RATE = 4.0
# Unused tokens that a node keeps, in seconds of its share, and the time for which it
# keeps a token without a lease, in seconds.
HELD_SECONDS = 0.25
KEEP_SECONDS = 1.0
# Limits of the time for which no tokens are requested after a reply without enough.
MIN_DENIAL_SECONDS = 0.01
MAX_DENIAL_SECONDS = 0.25
# A coordinator without a reply to this many reports for this time is given up until it
# replies. Nodes with 0.43 of a core stand still for up to 0.1 s.
LOSSES_BEFORE_GIVING_UP = 3
GIVING_UP_SECONDS = 0.3
# Demand below which a node counts as idle, in requests per second.
MIN_DEMAND = 0.05
# Time without a refusal after which an organisation is within its quota, in seconds.
RECOVERY_SECONDS = 5.0
# Decay time of the number of refused callers among which tokens are spread.
BACKLOG_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.02
# Time after which callers return to a node that no coordinator answers, in seconds: the
# next one is found after 0.6 s, one that starts is confirmed after 0.1 to 0.3 s.
LOST_RETRY_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 5.0

ADMITTED = QuotaDecision(QuotaStatus.ADMITTED)
WAITING = QuotaDecision(QuotaStatus.WAITING)


class QuotaClient:
    """Decides on the requests of one organisation at one node.

    Parameters
    ----------
    name : str
        Name of the organisation.
    rng : random.Random
        Source of all random choices.
    send_report : callable
        Sends a QuotaReport to the coordinator, given the report and the time.

    Attributes
    ----------
    allowance : int
        Requests in a window that need no token.
    coordinator : tuple or None
        Address of the coordinator.
    """

    def __init__(self, name, rng, send_report):
        self.name = name
        self.rng = rng
        self.send_report = send_report
        self.rate = 0.0
        self.nodes = 1
        # Checksum of this node's list of nodes.
        self.node_list = 0
        self.allowance = 0
        self.window_seconds = 5.0
        self.coordinator = None
        self.used = 0
        self.refused = 0
        self.is_over = False
        self.is_lost = False
        self.waiting = deque()
        self._free = Allowance()
        self._demand = DemandEstimate()
        self._link = rng.getrandbits(31)
        self._number = 0
        self._seen = 0
        self._sent_at = {}
        # Tokens that replies have contained, now and when each report was sent.
        self._granted = 0
        self._granted_at = {}
        self._unanswered = 0
        self._unanswered_since = 0.0
        self._reported_at = float("-inf")
        self._is_asking = False
        self._taken = 0.0
        self._held = 0.0
        self._kept_until = float("-inf")
        self._share = 0.0
        self._lease_until = float("-inf")
        self._accrued_at = float("-inf")
        self._denied_until = float("-inf")
        self._next_token_at = float("-inf")
        self._refused_at = float("-inf")
        self._backlog = 0.0

    def configure(self, rate, allowance, window_seconds, nodes):
        """Set the quota and this node's allowance.

        Notes
        -----
        With a lower rate, a lease is reduced by the same factor. If all leases ended,
        all nodes would need tokens in the same moment.
        """
        if 0 < rate < self.rate:
            self._share *= rate / self.rate
            self._held = min(self._held, self._get_held_limit())
        self.rate = rate
        self.allowance = allowance
        self.window_seconds = window_seconds
        self.nodes = nodes

    def set_coordinator(self, coordinator):
        """Set the coordinator; a lease of the earlier one stays valid."""
        if coordinator == self.coordinator:
            return
        self.coordinator = coordinator
        self._link = self.rng.getrandbits(31)
        self._number = self._seen = 0
        self._sent_at.clear()
        self._granted_at.clear()
        self._unanswered = 0
        self._is_asking = False
        self._reported_at = self._denied_until = float("-inf")

    def end_lease(self, now):
        """End the lease and return the tokens that it gave."""
        self._accrue(now)
        self._share = 0.0
        self._lease_until = float("-inf")
        if now > self._kept_until:
            self._return_tokens(0.0)

    def _get_held_limit(self):
        return max(1.0, HELD_SECONDS * self._share)

    def _accrue(self, now):
        """Add the tokens of the lease up to now."""
        end = min(now, self._lease_until)
        seconds = max(0.0, end - self._accrued_at)
        self._accrued_at = max(self._accrued_at, now)
        room = max(0.0, self._get_held_limit() - self._held)
        added = min(self._share * seconds, room) if self._share else 0.0
        self._held += added
        self._taken += added
        if now >= self._lease_until:
            self._share = 0.0
            if now > self._kept_until:
                self._return_tokens(0.0)

    def _return_tokens(self, kept):
        """Return held tokens beyond a number; the next report says so.

        Notes
        -----
        Requests of the allowance that no endpoint ran give back a token that was not
        taken from the coordinator, which drops reports with a negative sum.
        """
        excess = max(0.0, self._held - kept)
        self._held -= excess
        self._taken = max(0.0, self._taken - excess)

    def acquire(self, now):
        """Return the QuotaDecision on one arrival."""
        self._demand.record(now)
        self._accrue(now)
        if not self.waiting:
            if self._held >= 1.0:
                self._held -= 1.0
                return self._admit()
            if not self._share and self._admit_freely(now):
                return self._admit()
        if now < self._denied_until:
            return self._refuse(now)
        if self.coordinator is None or self.is_lost:
            return self._admit() if self._admit_freely(now) else self._refuse(now, True)
        self.waiting.append(now)
        self._ask(now)
        if len(self.waiting) == 1:
            # This node may be the coordinator, and have replied at once.
            decisions = self.resume(now)
            if decisions:
                return decisions[0]
        return WAITING

    def _admit(self):
        self.used += 1
        return ADMITTED

    def _admit_freely(self, now):
        return self._free.admit(self.allowance, self.window_seconds, now)

    def _refuse(self, now, is_lost=False):
        """Return a refusal.

        Parameters
        ----------
        now : float
            Seconds of the node's clock.
        is_lost : bool
            Whether no coordinator could be asked, which doesn't show that the
            organisation is over its quota.
        """
        self.refused += 1
        age = max(0.0, now - self._refused_at)
        self._backlog = self._backlog * exp(-age / BACKLOG_SECONDS) + 1.0
        if not is_lost:
            self.is_over = True
        self._refused_at = now
        pace = self._share or max(1e-3, self.rate / max(1, self.nodes))
        if self._share:
            first = max(0.0, 1.0 - self._held) / self._share
        else:
            first = max(0.0, self._next_token_at - now)
            if is_lost:
                first = max(LOST_RETRY_SECONDS, first)
        # The first of the callers finds a token at that time, the last one after the
        # tokens of all others.
        wait = first + self.rng.random() * (self._backlog - 1.0) / pace
        wait = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
        return QuotaDecision(QuotaStatus.REFUSED, wait)

    def _ask(self, now):
        """Request tokens for the waiting requests unless a reply is expected."""
        if self._is_asking and now - self._reported_at < RESEND_SECONDS:
            return
        self._report(max(0, len(self.waiting) - int(self._held)), now)

    def _report(self, wanted, now):
        self._number += 1
        self._sent_at[self._number] = now
        self._granted_at[self._number] = self._granted
        if len(self._sent_at) > 16:
            oldest = next(iter(self._sent_at))
            del self._sent_at[oldest], self._granted_at[oldest]
        if not self._unanswered:
            self._unanswered_since = now
        self._unanswered += 1
        self._reported_at = now
        self._is_asking = wanted > 0
        if not self.waiting:
            self._return_tokens(self._get_held_limit())
        report = QuotaReport(
            self.name,
            self._link,
            self._number,
            self._seen,
            self._taken,
            self._held,
            self._share,
            max(0.0, self._lease_until - now) if self._share else 0.0,
            self._demand.get(now),
            wanted,
            self.node_list,
        )
        self.send_report(report, now)

    def report_lease(self, now):
        """Tell a new coordinator the lease of this node."""
        self._accrue(now)
        self._report(max(0, len(self.waiting) - int(self._held)), now)

    def handle_reply(self, reply, now):
        """Apply the reply of the coordinator; return whether it was current."""
        sent_at = self._sent_at.get(reply.number)
        if (
            reply.link != self._link
            or reply.number <= self._seen
            or sent_at is None
            or now - sent_at > MAX_REPLY_AGE_SECONDS
        ):
            return False
        self._accrue(now)
        self._seen = reply.number
        received = self._granted - self._granted_at[reply.number]
        tokens = max(0, reply.tokens - received)
        self._granted += tokens
        for number in [n for n in self._sent_at if n <= reply.number]:
            del self._sent_at[number], self._granted_at[number]
        self._unanswered = 0
        self.is_lost = False
        if reply.number == self._number:
            self._is_asking = False
        self._share = min(reply.share, self.rate)
        self._lease_until = sent_at + reply.seconds
        self._taken += tokens
        self._held += tokens
        self._kept_until = max(self._kept_until, now + KEEP_SECONDS)
        if reply.retry_after > 0:
            denial = min(MAX_DENIAL_SECONDS, max(MIN_DENIAL_SECONDS, reply.retry_after))
            self._denied_until = now + denial
            self._next_token_at = now + reply.retry_after
        return True

    def resume(self, now):
        """Return the decisions on the requests that have waited longest."""
        self._accrue(now)
        decisions = []
        while self.waiting:
            if self._held >= 1.0:
                self._held -= 1.0
                decisions.append(self._admit())
            elif now < self._denied_until:
                decisions.append(self._refuse(now))
            elif now - self.waiting[0] >= MAX_WAIT_SECONDS - 1e-9:
                is_free = self._admit_freely(now)
                decisions.append(self._admit() if is_free else self._refuse(now, True))
            else:
                self._ask(now)
                break
            self.waiting.popleft()
        return decisions

    def give_back(self, now):
        """Keep a token that no endpoint used for the next request."""
        self._accrue(now)
        self._held += 1.0
        self._kept_until = max(self._kept_until, now + KEEP_SECONDS)
        self.used -= 1

    def run_round(self, now):
        """Report, if it is time, and detect the loss of the coordinator."""
        self._accrue(now)
        if self.is_over and now - self._refused_at > RECOVERY_SECONDS:
            self.is_over = False
        if (
            self._unanswered >= LOSSES_BEFORE_GIVING_UP
            and now - self._unanswered_since > GIVING_UP_SECONDS
        ):
            self.is_lost = True
        demand = self._demand.get(now)
        if self.is_lost and demand < MIN_DEMAND:
            # The next request tries the coordinator again.
            self.is_lost = False
            self._unanswered = 0
        is_needed = demand >= max(
            MIN_LEASE_DEMAND, self.allowance / self.window_seconds
        )
        if self.coordinator is None or not (is_needed or self._share or self.is_lost):
            return
        pace = max(demand, self._share)
        interval = REPORT_SECONDS if pace >= FAST_REPORT_RATE else SLOW_REPORT_SECONDS
        if self.is_lost or self._unanswered:
            interval = REPORT_SECONDS
        if now - self._reported_at >= interval - 1e-9:
            self._report(0, now)

    def is_unused(self, now):
        """Return whether the client has no state that matters any more."""
        return self.is_idle(now) and now - self._demand.at > 2 * self.window_seconds

    def is_idle(self, now):
        """Return whether rounds have nothing to do."""
        return not (
            self.waiting
            or self._share
            or self._held
            or self.is_over
            or self.is_lost
            or self._demand.get(now) >= MIN_DEMAND
        )
