"""Choice of the node to which a request is forwarded."""

from collections import Counter

__all__ = ["PeerTable"]

# Seconds for which a node is not asked again that reaches no endpoint of a service.
UNREACHABLE_SECONDS = 1.0
# Seconds for which a node is not asked again that accepted no connection, lost a
# request or is stopping.
FAILED_SECONDS = 2.0


class PeerTable:
    """The other nodes of the fleet, and what their responses said.

    Parameters
    ----------
    name, data_centre : str
        This node.
    get_nodes : callable
        Returns the NodeRecord of each registered node by name.
    rng : random.Random
        Source of all random choices.

    Attributes
    ----------
    in_flight : Counter
        Requests that this node has forwarded, by node.
    """

    def __init__(self, name, data_centre, get_nodes, rng):
        self.name = name
        self.data_centre = data_centre
        self.get_nodes = get_nodes
        self.rng = rng
        self.in_flight = Counter()
        # Time until which a node is avoided, by name and service; an empty service
        # stands for all.
        self._avoided = {}

    def choose(self, service, tried, now):
        """Return the NodeRecord of the node that gets a request next, or None.

        Parameters
        ----------
        service : str
            The request's service.
        tried : collection of str
            Nodes that have had the request.
        now : float
            Seconds of the node's clock.

        Notes
        -----
        Nodes of the own data centre come first as long as most of them are usable;
        otherwise they would get the requests of all the others. Of two random nodes
        the one with fewer requests in flight is taken, which also avoids a node that
        does not respond.
        """
        peers = [node for node in self.get_nodes().values() if self._is_peer(node)]
        usable = [
            node
            for node in peers
            if node.name not in tried and self._is_usable(node.name, service, now)
        ]
        near = [node for node in usable if node.data_centre == self.data_centre]
        local = sum(node.data_centre == self.data_centre for node in peers)
        candidates = near if 2 * len(near) > local else usable
        if not candidates:
            return None
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda node: self.in_flight[node.name])

    def is_member(self, name, host):
        """Return whether a node of this name is registered at an IP address."""
        node = self.get_nodes().get(name)
        return node is not None and node.address.rpartition(":")[0] == host

    def count_usable(self, service, now):
        """Return the number of nodes to which requests of a service may go."""
        return sum(
            self._is_peer(node) and self._is_usable(node.name, service, now)
            for node in self.get_nodes().values()
        )

    def begin(self, node):
        """Record that a request is forwarded to a node."""
        self.in_flight[node.name] += 1

    def end(self, node):
        """Record that a forwarded request has ended."""
        self.in_flight[node.name] -= 1
        if not self.in_flight[node.name]:
            del self.in_flight[node.name]

    def record_unreachable(self, node, service, now):
        """Record that a node reaches no endpoint of a service either."""
        self._avoid(node.name, service, now, UNREACHABLE_SECONDS)

    def record_failure(self, node, now):
        """Record that a node did not respond, or takes no more requests."""
        self._avoid(node.name, "", now, FAILED_SECONDS)

    def _is_peer(self, node):
        return node.forward_port > 0 and node.name != self.name

    def _is_usable(self, name, service, now):
        if not self._avoided:
            return True
        until = max(
            self._avoided.get((name, service), now), self._avoided.get((name, ""), now)
        )
        return until <= now

    def _avoid(self, name, service, now, seconds):
        """Avoid a node for a time; forget the times that have passed."""
        self._avoided = {
            key: until for key, until in self._avoided.items() if until > now
        }
        # The spread keeps nodes that lost their endpoints together from all asking the
        # same node at the same moment again.
        self._avoided[name, service] = now + seconds * self.rng.uniform(0.75, 1.25)
