"""Choice of the node to which a request is forwarded."""

from collections import Counter

__all__ = ["PeerTable"]

# Seconds for which a node is not asked again that reaches no endpoint of a service.
UNREACHABLE_SECONDS = 1.0
# Seconds for which a node is not asked again that accepted no connection, lost a
# request or is stopping.
FAILED_SECONDS = 2.0
# Seconds for which a node that served a service, or was named by another node, is
# preferred for it.
KNOWN_SECONDS = 3.0
# Share of requests for which nodes are chosen first that are not known to serve the
# service, so that the load spreads.
EXPLORED_SHARE = 0.25
# Nodes that reach nothing for each one known to serve, from which on the latter is
# preferred however many requests it has in flight.
SCARCE_RATIO = 4
# Seconds without any response after which a node with requests in flight is no longer
# preferred.
SILENT_SECONDS = 0.5
# Seconds between updates of the list of nodes.
REFRESH_SECONDS = 0.25
# Nodes that are asked for one request, each of which takes a round trip, and the number
# of refusals in a row after which fewer are.
MAX_TRIED = 8
MAX_TRIED_IN_VAIN = 2
REFUSALS_IN_VAIN = 12
# Nodes that a node which reaches no endpoint names to others.
MAX_NAMED = 3


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
        self._peers = []
        self._refreshed_at = float("-inf")
        # Time of the last response, by name, of nodes with requests in flight.
        self._heard_at = {}
        # Time since which a node with requests in flight has sent no response.
        self._silent_since = {}
        # Time until which a node is avoided, by name and service; an empty service
        # stands for all.
        self._avoided = {}
        # Time until which a node is known to serve a service, by name and service.
        self._known = {}
        # Refusals in a row by service.
        self._in_vain = Counter()

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
        Nodes of the own data centre come first, unless most of those that were asked
        could not serve: the others would get the requests of all of them. Nodes that
        are known to serve come before these. Of two random nodes the one with fewer
        requests in flight is taken, which also avoids a node that does not respond.
        """
        is_in_vain = self._in_vain[service] >= REFUSALS_IN_VAIN
        if len(tried) >= (MAX_TRIED_IN_VAIN if is_in_vain else MAX_TRIED):
            return None
        usable = [
            node
            for node in self._list_peers(now)
            if node.name not in tried and self._is_usable(node.name, service, now)
        ]
        if self._prefers_near(service, now):
            near = [node for node in usable if node.data_centre == self.data_centre]
            usable = near or usable
        if not usable:
            return None
        known = self._list_responsive(usable, service, now)
        explores = not tried and self.rng.random() < EXPLORED_SHARE
        if known and not explores:
            if len(known) > 1 or self._is_scarce(service, now):
                usable = known
            else:
                usable = [*known, self.rng.choice(usable)]
        pair = self.rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda node: self.in_flight[node.name])

    def _list_responsive(self, nodes, service, now):
        """Return the nodes that are known to serve a service and that respond."""
        return [
            node
            for node in nodes
            if self._is_known(node.name, service, now)
            and now - self._silent_since.get(node.name, now) <= SILENT_SECONDS
        ]

    def _is_scarce(self, service, now):
        """Return whether few of the nodes that were asked serve a service."""
        known = sum(self._is_known(node.name, service, now) for node in self._peers)
        avoided = sum(
            not self._is_usable(node.name, service, now) for node in self._peers
        )
        return avoided >= SCARCE_RATIO * known

    def _list_peers(self, now):
        """Return the other nodes that accept forwarded requests."""
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            self._peers = [
                node
                for node in self.get_nodes().values()
                if node.forward_port and node.name != self.name
            ]
        return self._peers

    def _prefers_near(self, service, now):
        """Return whether nodes of the own data centre come first."""
        near = [
            node.name
            for node in self._list_peers(now)
            if node.data_centre == self.data_centre
        ]
        avoided = sum(not self._is_usable(name, service, now) for name in near)
        known = sum(self._is_known(name, service, now) for name in near)
        return known >= avoided

    def is_member(self, name, host):
        """Return whether a node of this name is registered at an IP address."""
        node = self.get_nodes().get(name)
        return node is not None and node.address.rpartition(":")[0] == host

    def count_usable(self, service, now):
        """Return the number of nodes to which requests of a service may go."""
        return sum(
            self._is_usable(node.name, service, now) for node in self._list_peers(now)
        )

    def has_other(self, node, service, now):
        """Return whether requests of a service may go to a node other than this."""
        return any(
            peer.name != node.name and self._is_usable(peer.name, service, now)
            for peer in self._list_peers(now)
        )

    def list_known(self, service, now):
        """Return the names of a few nodes that serve a service."""
        known = [
            name
            for (name, known_service), until in self._known.items()
            if known_service == service and until > now
        ]
        return self.rng.sample(known, min(MAX_NAMED, len(known)))

    def begin(self, node, now):
        """Record that a request is forwarded to a node."""
        self.in_flight[node.name] += 1
        self._silent_since.setdefault(node.name, now)

    def end(self, node):
        """Record that a forwarded request has ended."""
        self.in_flight[node.name] -= 1
        if not self.in_flight[node.name]:
            del self.in_flight[node.name]
            self._heard_at.pop(node.name, None)
            self._silent_since.pop(node.name, None)

    def record_heard(self, node, now):
        """Record that a node responded."""
        self._heard_at[node.name] = now
        if node.name in self._silent_since:
            self._silent_since[node.name] = now

    def get_heard_at(self, node):
        """Return when a node with requests in flight last responded."""
        return self._heard_at.get(node.name, float("-inf"))

    def record_served(self, node, service, now):
        """Record that a node passed on an endpoint's answer."""
        self._in_vain.pop(service, None)
        self._set(self._known, (node.name, service), now + KNOWN_SECONDS, now)

    def record_named(self, names, service, now):
        """Record that another node names these as nodes that serve a service.

        Notes
        -----
        A node that knows some needs no names. All nodes would otherwise come to use
        the few that were named first.
        """
        if len(self.list_known(service, now)) > 1:
            return
        for name in names[:MAX_NAMED]:
            if name != self.name and self._is_usable(name, service, now):
                self._set(self._known, (name, service), now + KNOWN_SECONDS, now)

    def record_unreachable(self, node, service, now):
        """Record that a node reaches no endpoint of a service either."""
        self._in_vain[service] += 1
        self._avoid(node.name, service, now, UNREACHABLE_SECONDS)

    def record_failure(self, node, now):
        """Record that a node did not respond, or takes no more requests."""
        self._avoid(node.name, "", now, FAILED_SECONDS)

    def _is_known(self, name, service, now):
        return self._known.get((name, service), now) > now

    def _is_usable(self, name, service, now):
        if not self._avoided:
            return True
        until = max(
            self._avoided.get((name, service), now), self._avoided.get((name, ""), now)
        )
        return until <= now

    def _avoid(self, name, service, now, seconds):
        self._known.pop((name, service), None)
        # The spread keeps nodes that lost their endpoints together from all asking the
        # same node at the same moment again.
        until = now + seconds * self.rng.uniform(0.75, 1.25)
        self._set(self._avoided, (name, service), until, now)

    def _set(self, times, key, until, now):
        """Set a time; drop those that have passed once there are many."""
        times[key] = until
        if len(times) > 2 * len(self._peers) + 16:
            for old in [old for old, end in times.items() if end <= now]:
                del times[old]
