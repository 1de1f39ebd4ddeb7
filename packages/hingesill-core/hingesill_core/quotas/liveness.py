"""Nodes that are registered but do not answer, so that others take over from them."""

from hingesill_core.quotas.messages import QuotaProbe
from hingesill_core.quotas.quorum import Quorum

__all__ = ["NodeLiveness"]

# Unanswered pings, one in each round of 0.1 s, after which a node counts as
# unresponsive. Nodes with 0.43 of a core stand still for up to 0.1 s.
MAX_PINGS = 6
# Interval of pings to an unresponsive node, in seconds.
PING_INTERVAL_SECONDS = 1.0
# Time after an answer for which a node is not suspected again, in seconds.
TRUSTED_SECONDS = 0.5
# Numbers of pings, and of the first probe for the majority; a coordinator's own probes
# have lower ones.
PING_NUMBER = 0
FIRST_NUMBER = 2**40


class NodeLiveness:
    """Finds the registered nodes that do not answer.

    Parameters
    ----------
    rng : random.Random
        Chooses the nodes that are probed for a majority.

    Attributes
    ----------
    send : callable
        Sends a message, given the address of a node and the message.

    Notes
    -----
    A node that was killed stays registered until its lease in the store ends, for up to
    two minutes, and would be the coordinator for that time.

    A node that reaches no majority of the registered nodes excludes none: otherwise
    each side of a partition would take the other one for dead, and have a coordinator
    that all nodes of its list accept.
    """

    def __init__(self, rng):
        self.send = lambda node, message: None
        self.quorum = Quorum(rng, number=FIRST_NUMBER)
        self._nodes = frozenset()
        # Unanswered pings of suspected nodes.
        self._pings = {}
        # Time of the last ping to each unresponsive node.
        self._excluded = {}
        self._trusted_until = {}

    @property
    def is_idle(self):
        """Whether all nodes answer as far as is known."""
        return not (self._pings or self._excluded)

    @property
    def unresponsive(self):
        """Addresses of the nodes that do not answer."""
        return self._excluded.keys()

    def set_nodes(self, nodes):
        """Set the addresses of all other registered nodes.

        Returns
        -------
        tuple
            Those that are not unresponsive.
        """
        nodes = frozenset(nodes)
        if nodes != self._nodes:
            self._nodes = nodes
            self.quorum.set_nodes(sorted(nodes))
            for table in (self._pings, self._excluded, self._trusted_until):
                for node in [node for node in table if node not in nodes]:
                    del table[node]
        return tuple(node for node in nodes if node not in self._excluded)

    def suspect(self, node, now):
        """Ping a node that did not answer, or that another node seems to miss."""
        if node not in self._nodes or node in self._excluded:
            return
        if now >= self._trusted_until.get(node, now):
            self._pings.setdefault(node, 0)

    def record_datagram(self, node, now):
        """Record that a node sent something; return whether it was unresponsive."""
        if self._pings.pop(node, None) is not None:
            self._trusted_until[node] = now + TRUSTED_SECONDS
        return self._excluded.pop(node, None) is not None

    def run_round(self, now):
        """Send pings; return whether the unresponsive nodes have changed."""
        if self.is_idle:
            return False
        for node, number in self.quorum.start_round(now):
            self.send(node, QuotaProbe(number))
        has_majority = self.quorum.is_confirmed(now, was_confirmed=bool(self._excluded))
        for node, at in list(self._excluded.items()):
            if now - at >= PING_INTERVAL_SECONDS:
                self._excluded[node] = now
                self.send(node, QuotaProbe(PING_NUMBER))
        if not has_majority and self._excluded:
            self._pings.update(dict.fromkeys(self._excluded, MAX_PINGS))
            self._excluded.clear()
            return True
        return self._ping_suspects(has_majority, now)

    def _ping_suspects(self, has_majority, now):
        """Ping suspected nodes; return whether one is unresponsive now."""
        has_changed = False
        for node, count in list(self._pings.items()):
            if count >= MAX_PINGS and has_majority:
                del self._pings[node]
                self._excluded[node] = now
                has_changed = True
                continue
            self._pings[node] = count + 1
            self.send(node, QuotaProbe(PING_NUMBER))
        return has_changed
