"""Allocation of one organisation's quota to nodes."""

from msgspec import Struct, field

from hingesill_core.quotas.messages import QuotaReply
from hingesill_core.quotas.tokenbucket import TokenBucket

__all__ = [
    "LEASE_SECONDS",
    "TAKEOVER_SECONDS",
    "UNLISTED_SECONDS",
    "QuotaCoordinator",
]

# Validity of a lease, in seconds. It has to outlast a change of the coordinator, for
# which node lists need 1 to 2 s.
LEASE_SECONDS = 3.0
# Time after which leases of an earlier coordinator have ended: a coordinator that is
# cut off notices it within 1 s.
TAKEOVER_SECONDS = LEASE_SECONDS + 1.0
# Time by which a takeover is longer if other nodes list nodes that this one does not,
# in seconds. One of these may be the coordinator, which learns of this one 2 s after
# others have listed it, and notices within 1 s that they don't accept it any more.
UNLISTED_SECONDS = 3.0
# Validity of the coordinator's own lease, in seconds. If it is cut off, no other node
# knows this lease.
OWN_LEASE_SECONDS = 1.2
# Share of the tolerance that a new coordinator grants within `TAKEOVER_SECONDS`, in
# addition to the leases that nodes bring: leases that it doesn't know may use the whole
# rate. It accrues, so that a coordinator which restarts repeatedly grants no more.
TAKEOVER_SHARE = 0.32
# Shortest expected remainder of a takeover, in seconds. Nodes answer within a few ms,
# or have to start first.
MIN_TAKEOVER_WAIT_SECONDS = 0.1
# Share of the tolerance by which the pool may exceed the burst.
EXTRA_POOL_SHARE = 0.3
# Factor by which leases exceed the demand, so that few requests wait for tokens.
HEADROOM = 1.2
# Demand from which a node gets a lease, in requests per second. Below it, tokens for
# single requests take fewer datagrams than a lease. One request counts as 1.
MIN_LEASE_DEMAND = 2.5
# Lowest share of a lease, in requests per second. With lower shares, many nodes would
# each hold a part of a token.
MIN_SHARE = 1.0
# Time after which a reply is ignored by its receiver, and after which the demand of a
# silent node doesn't count, in seconds.
MAX_REPLY_AGE_SECONDS = 0.5
DEMAND_SECONDS = 1.5
MAX_RETRY_AFTER_SECONDS = 5.0


class NodeAccount(Struct):
    """What a coordinator has allocated to a node.

    Parameters
    ----------
    link, number : int
        Those of the node's last report.
    charged : float
        Tokens that the node may have taken under this link.
    reserved : float
        Highest share that the node may be using, in requests per second.
    until : float
        Time at which the last lease ends.
    at : float
        Time up to which the reserved share is charged.
    reported_at : float
        Time of the last report.
    demand, held : float
        Those of the last report.
    pending : dict
        (time, tokens, share, until) by number of the replies that the node has not
        confirmed.
    """

    link: int
    at: float
    number: int = 0
    charged: float = 0.0
    reserved: float = 0.0
    until: float = float("-inf")
    reported_at: float = float("-inf")
    demand: float = 0.0
    held: float = 0.0
    pending: dict = field(default_factory=dict)


class QuotaCoordinator:
    """Allocates an organisation's tokens to nodes.

    Parameters
    ----------
    name : str
        Name of the organisation.
    rate, burst : float
        Quota of the organisation.
    extra : float
        Requests beyond the quota that may arrive in a window.
    since : float
        Time since which this node has been the coordinator.
    now : float
        Seconds of the node's clock.
    own : tuple or None
        Address of this node.
    missing : iterable of tuple or None
        Nodes that have to tell their leases before the whole rate is allocated; None
        if leases may be valid that none of them knows.
    ended_from : float
        Time from which no earlier coordinator grants anything.
    listed_from : float
        Time from which the node list is complete. Before it, the whole rate is
        allocated only if the lists of all these nodes equal that of this node.
    node_list : int
        Checksum of this node's list of nodes.

    Notes
    -----
    The pool is the fleet's token bucket without what has been allocated. A share is
    charged as it accrues; a node's report says what it has really taken, and the
    difference goes back into the pool. The sum of all corrections is therefore exact,
    however late or incomplete the reports are.
    """

    def __init__(
        self,
        name,
        rate,
        burst,
        extra,
        since,
        now,
        own=None,
        missing=None,
        ended_from=0.0,
        listed_from=0.0,
        node_list=0,
    ):
        self.name = name
        self.rate = rate
        self.burst = burst
        self.extra = extra
        self.own = own
        self.ended_from = ended_from
        self.listed_from = listed_from
        self.node_list = node_list
        self.created_at = now
        self.normal_from = since + TAKEOVER_SECONDS
        self.missing = None if missing is None else set(missing)
        # Nodes whose list may differ from that of this node.
        self.differing = set(missing or ())
        self.has_others = bool(missing)
        self.has_unlisted = False
        self.accounts = {}
        self.reserved = 0.0
        self.demand = 0.0
        self.held = 0.0
        self.brought = 0.0
        accrued = rate * max(0.0, now - self.normal_from)
        self.pool = TokenBucket(min(self.get_capacity(), accrued), now)
        self.reported_at = now

    def configure(self, rate, burst, extra, now):
        """Change the quota.

        Notes
        -----
        Nodes reduce their own leases by the same factor. Those that have not received
        the change keep the higher share until they report or their lease ends.
        """
        self._fill(now)
        self.rate, self.burst, self.extra = rate, burst, extra
        self._fill(now)

    def is_new(self, now):
        """Return whether leases of an earlier coordinator may be valid."""
        return now < self.normal_from

    def get_capacity(self):
        """Return the capacity of the pool.

        Notes
        -----
        Tokens that nodes hold may be used in the same moment as the pool.
        """
        return max(0.0, self.burst + EXTRA_POOL_SHARE * self.extra - self.held)

    def _fill(self, now):
        if self.is_new(now):
            share = TAKEOVER_SHARE * self.extra / TAKEOVER_SECONDS
            self.pool.fill(min(share, self.rate), self.get_capacity(), now)
        else:
            self.pool.fill(self.rate - self.reserved, self.get_capacity(), now)

    def handle_report(self, report, node, now):
        """Return the QuotaReply to a node's report, or None for an outdated one."""
        self._fill(now)
        self.reported_at = now
        account = self.accounts.get(node)
        if account is None or account.link != report.link:
            account = self._open_account(report, node, now)
        if report.number <= account.number:
            return None
        if report.node_list:
            self._record_told(node, report.node_list, now)
        account.number = report.number
        self._settle(account, report, now)
        unconfirmed = take_unconfirmed(account)
        added = self.pool.take(max(0, report.wanted - unconfirmed))
        tokens = unconfirmed + added
        seconds = self._get_lease_seconds(account, node, now)
        share = self._choose_share(account, now) if seconds > 0 else 0.0
        account.charged += added
        until = now + seconds
        account.pending[report.number] = (now, tokens, share, until)
        account.until = max(account.until, until if share else account.until)
        self._reserve(account, max(account.reserved, share))
        return QuotaReply(
            self.name,
            report.link,
            report.number,
            share,
            seconds if share else 0.0,
            tokens,
            self._estimate_wait(now) if tokens < report.wanted else 0.0,
        )

    def _get_lease_seconds(self, account, node, now):
        """Return the validity of a lease that is given now.

        Notes
        -----
        A coordinator that is not listed here counts a lease that it gave until the
        lease ends, and then gives the share to other nodes.
        """
        if node == self.own:
            return OWN_LEASE_SECONDS
        if self.has_unlisted and self.is_new(now):
            return min(LEASE_SECONDS, account.until - now)
        return LEASE_SECONDS

    def record_nodes(self, joined, nodes, node_list, now):
        """Record a change of the node list, of which the new one is given as well.

        Notes
        -----
        Nodes that left have to tell their leases further: one that was cut off uses its
        lease until it ends.
        """
        if self.missing is None or not self.is_new(now):
            return
        self.missing.update(joined)
        self.differing = set(nodes) - {self.own}
        self.has_others = bool(self.differing)
        self.node_list = node_list
        self._end_takeover(now)

    def record_unlisted(self, nodes, now):
        """Record nodes that only other nodes list, and which may have leases."""
        if self.missing is None or not self.is_new(now) or not nodes:
            return
        if not self.has_unlisted:
            self.has_unlisted = True
            self.normal_from += UNLISTED_SECONDS
        self.missing.update(nodes)

    def list_unknown(self, now):
        """Return the nodes that have to be asked for their leases."""
        if self.missing is None or not self.is_new(now):
            return []
        is_listed = now >= self.listed_from
        return sorted(self.missing if is_listed else self.missing | self.differing)

    def _record_told(self, node, node_list, now):
        """Record that the lease of a node is known, and its list of nodes."""
        if self.missing is None or not self.is_new(now):
            return
        if node_list == self.node_list:
            self.differing.discard(node)
        elif now < self.listed_from:
            # The node may not know yet that another one left, and is asked again.
            return
        self.missing.discard(node)
        self._end_takeover(now)

    def _end_takeover(self, now):
        """Allocate the whole rate if all leases are known.

        Notes
        -----
        A node tells its lease only to the coordinator according to its own list. If all
        lists are equal, no other node is accepted as the coordinator. The list of a
        node that knows no other one may not be complete yet, and equals none.
        """
        if self.missing is None or self.missing or now < self.ended_from:
            return
        are_equal = self.has_others and not self.differing
        if now >= self.listed_from or are_equal:
            self.normal_from = min(self.normal_from, now)

    def _open_account(self, report, node, now):
        """Replace the account of a node and keep the lease that it brings.

        Notes
        -----
        What the earlier process at the address has been charged stays charged.
        """
        self._close_account(node)
        account = self.accounts[node] = NodeAccount(report.link, now)
        account.charged = report.taken
        if report.share > 0:
            account.until = now + min(report.seconds, LEASE_SECONDS)
        return account

    def _close_account(self, node):
        account = self.accounts.pop(node, None)
        if account is not None:
            self.reserved -= account.reserved
            self.demand -= account.demand
            self.held -= account.held

    def _reserve(self, account, share):
        self.reserved += share - account.reserved
        account.reserved = share

    def _settle(self, account, report, now):
        """Replace what was charged by what the node has taken."""
        self._charge(account, now)
        for number, (at, *_) in list(account.pending.items()):
            if number <= report.seen or now - at > 2 * MAX_REPLY_AGE_SECONDS:
                del account.pending[number]
        outstanding = sum(tokens for _, tokens, _, _ in account.pending.values())
        charged = report.taken + outstanding
        self.pool.level += account.charged - charged
        account.charged = charged
        shares = [share for _, _, share, _ in account.pending.values()]
        self._reserve(account, max([report.share, *shares]))
        self.demand += report.demand - account.demand
        self.held += report.held - account.held
        account.demand, account.held = report.demand, report.held
        account.reported_at = now
        self.pool.level = min(self.pool.level, self.get_capacity())

    def _charge(self, account, now):
        """Charge the share that has accrued; the pool was not filled with it."""
        account.charged += account.reserved * max(0.0, now - account.at)
        account.at = now

    def _choose_share(self, account, now):
        """Return the share of a node according to its demand."""
        if account.demand < MIN_LEASE_DEMAND:
            return 0.0
        others = max(0.0, self.reserved - account.reserved)
        if self.is_new(now):
            limit = account.reserved
        else:
            limit = self.rate - others
        fair = self.rate * account.demand / max(self.demand, 1e-9)
        share = min(HEADROOM * account.demand, fair, limit)
        return share if share >= MIN_SHARE else 0.0

    def _estimate_wait(self, now):
        """Return the seconds until the pool has a token."""
        if self.is_new(now):
            return self._estimate_takeover(now)
        free = max(self.rate - self.reserved, 0.1 * self.rate)
        return min(MAX_RETRY_AFTER_SECONDS, max(0.0, 1.0 - self.pool.level) / free)

    def _estimate_takeover(self, now):
        """Return the expected seconds until the whole rate is allocated.

        Notes
        -----
        It ends when the last node has told its lease. That is expected to take as long
        again as it has taken, as nothing is known of nodes that are starting.
        """
        left = self.normal_from - now
        if self.missing is None:
            return left
        expected = max(MIN_TAKEOVER_WAIT_SECONDS, now - self.created_at)
        return min(left, max(expected, self.ended_from - now))

    def run_round(self, now):
        """End leases that were not renewed and forget silent nodes."""
        self._end_takeover(now)
        self._fill(now)
        for node, account in list(self.accounts.items()):
            if now - account.reported_at > DEMAND_SECONDS and account.demand:
                self.demand -= account.demand
                account.demand = 0.0
            if account.reserved and now >= account.until:
                self._charge(account, now)
                self._reserve(account, 0.0)
            if not account.reserved and now - account.reported_at > LEASE_SECONDS:
                self._close_account(node)
        if not self.accounts:
            # Sums of floating-point numbers drift.
            self.reserved = self.demand = self.held = 0.0

    def is_idle(self, now):
        """Return whether the state equals that of a coordinator without any."""
        return (
            not self.accounts
            and not self.is_new(now)
            and self.pool.level >= self.get_capacity()
        )


def take_unconfirmed(account):
    """Return the tokens of replies that the node has not confirmed, and clear them.

    Notes
    -----
    A node repeats a report while its reply may be on the way. The next reply contains
    the tokens of the earlier ones, and the node adds only what it has not received.
    """
    tokens = 0
    for number, (at, granted, share, until) in account.pending.items():
        tokens += granted
        account.pending[number] = (at, 0, share, until)
    return tokens
