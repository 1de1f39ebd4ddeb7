"""Nodes that joined or left the list of nodes, and whether they are alive."""

from msgspec import Struct, field

from hingesill_core.quotas.coordinator import TAKEOVER_SECONDS
from hingesill_core.ratelimits.coordinators import compute_weight

__all__ = ["MAX_PROBED_LEFT", "ListHistory", "NodeContacts"]

# Time for which nodes that left are remembered, in seconds: any pool is full after it,
# or is filled more slowly than it could be.
LEFT_SECONDS = 120.0
# Nodes of which a probe asks, and nodes of other lists that are remembered.
MAX_PROBED_LEFT = 32
MAX_LEARNED = 256
# Time after which a node is expected to be in all lists, in seconds. Lists differ for 1
# to 2 s after each change.
SETTLED_SECONDS = 2.0
# Nodes that an answer names, which the sender of the probe does not know.
MAX_UNLISTED = 32
# Time for which a node counts as alive after a message, after which one that was asked
# without an answer does not, and interval of further questions, in seconds. Answers
# take some milliseconds.
HEARD_SECONDS = 1.0
ANSWER_SECONDS = 0.05
ASK_INTERVAL_SECONDS = 1.0


class ListHistory(Struct):
    """Times at which nodes joined or left the list of nodes.

    Attributes
    ----------
    left : dict
        Time at which a node left by its address, the oldest first. It may be in the
        list again.
    joined : dict
        Time at which a node joined by its address, for nodes of the list.
    learned : dict
        Time at which another node's list was last known to have a node, by its address.
    """

    left: dict = field(default_factory=dict)
    joined: dict = field(default_factory=dict)
    learned: dict = field(default_factory=dict)
    left_at: float = float("-inf")

    def record_left(self, left, now):
        """Record nodes that left.

        Returns
        -------
        float
            Time of the latest departure that is forgotten now; minus infinity if none
            is.
        """
        for node in left:
            self.left.pop(node, None)
            self.left[node] = self.left_at = now
        forgotten_at = float("-inf")
        while self.left:
            node, at = next(iter(self.left.items()))
            if now - at <= LEFT_SECONDS:
                break
            del self.left[node]
            forgotten_at = at
        return forgotten_at

    def record_joined(self, joined, at, nodes, now):
        """Record the time at which nodes joined; forget what is old.

        Parameters
        ----------
        joined : collection of tuple
            Addresses of the nodes that joined.
        at : float
            Time at which they may have joined first.
        nodes : collection of tuple
            The present list.
        now : float
            Seconds of the node's clock.
        """
        self.joined = {
            node: since
            for node, since in self.joined.items()
            if node in nodes and now - since <= LEFT_SECONDS
        }
        self.joined.update(dict.fromkeys(joined, at))

    def record_learned(self, learned, nodes, now):
        """Record nodes of another list; return whether one of them is new here.

        Parameters
        ----------
        learned : iterable of tuple
            Addresses of the nodes.
        nodes : collection of tuple
            The present list.
        now : float
            Seconds of the node's clock.
        """
        known = self.list_probed(nodes)
        for node in set(learned) - nodes:
            self.learned.pop(node, None)
            self.learned[node] = now
        for node, at in list(self.learned.items()):
            is_surplus = len(self.learned) > MAX_LEARNED
            if is_surplus or node in nodes or now - at > LEFT_SECONDS:
                del self.learned[node]
        return self.list_probed(nodes) != known

    def list_settled(self, nodes, now):
        """Return the nodes that joined long enough ago to be in all lists."""
        return [
            node
            for node in nodes
            if now - self.joined.get(node, float("-inf")) > SETTLED_SECONDS
        ]

    def get_listed_seconds(self, node, now):
        """Return for how long a node that joined is listed; 0 if it did not join."""
        at = self.joined.get(node)
        if at is None or now - at > LEFT_SECONDS:
            return 0.0
        return max(1e-6, now - at)

    def list_recent(self, now):
        """Return (address, time) of the nodes that left and may have valid leases."""
        if now - self.left_at > TAKEOVER_SECONDS:
            return []
        return [
            (node, at) for node, at in self.left.items() if now - at <= TAKEOVER_SECONDS
        ]

    def find_leaseholders(self, name, weight, nodes, now):
        """Return the nodes that left and may use leases of which nobody tells.

        Parameters
        ----------
        name : str
            Name of the organisation.
        weight : int
            Weight of the present coordinator.
        nodes : collection of tuple
            The present list.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        An earlier coordinator that left alone gave leases to itself only, which end
        soon. Others may be cut off together with it, and then their leases are renewed
        until it is no longer confirmed.
        """
        left = {node for node, _ in self.list_recent(now) if node not in nodes}
        if len(left) == 1 and compute_weight(name, next(iter(left))) < weight:
            return set()
        return left

    def find_unlisted(self, nodes):
        """Return the nodes that are in other lists and were not in this one."""
        return self.learned.keys() - self.left.keys() - nodes

    def list_absent(self, nodes):
        """Return the nodes that left or are in other lists only, the newest first."""
        absent = dict.fromkeys([*reversed(self.learned), *reversed(self.left)])
        return [node for node in absent if node not in nodes]

    def list_probed(self, nodes):
        """Return the nodes of which probes ask."""
        return tuple(self.list_absent(nodes)[:MAX_PROBED_LEFT])

    def find_earlier(self, name, weight, nodes):
        """Return the absent nodes that come before a node as the coordinator."""
        if not (self.left or self.learned):
            return frozenset()
        return frozenset(
            node
            for node in self.list_probed(nodes)
            if compute_weight(name, node) < weight
        )


class NodeContacts(Struct):
    """Which nodes of the list are alive, as far as is known.

    Attributes
    ----------
    heard_at : dict
        Time of the last message by address.
    asked_at : dict
        Times of the first and last question without an answer by address.
    """

    heard_at: dict = field(default_factory=dict)
    asked_at: dict = field(default_factory=dict)

    def record_heard(self, node, now):
        """Record a message of a node."""
        self.heard_at[node] = now
        self.asked_at.pop(node, None)

    def forget(self, nodes):
        """Forget nodes that left the list."""
        for node in nodes:
            self.heard_at.pop(node, None)
            self.asked_at.pop(node, None)

    def is_alive(self, node, now):
        """Return whether a node answers; None if that is not known yet."""
        if now - self.heard_at.get(node, float("-inf")) <= HEARD_SECONDS:
            return True
        first, _ = self.asked_at.get(node, (now, now))
        return None if now - first <= ANSWER_SECONDS else False

    def should_ask(self, node, now):
        """Return whether to ask a node now whether it is alive; record the question."""
        if self.is_alive(node, now):
            return False
        first, last = self.asked_at.get(node, (now, float("-inf")))
        if now - last <= ASK_INTERVAL_SECONDS:
            return False
        self.asked_at[node] = (first, now)
        return True
