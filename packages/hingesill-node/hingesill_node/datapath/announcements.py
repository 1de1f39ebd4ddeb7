"""Announcements of leaving endpoints and overdue answers to other nodes.

Overdue answers are sent as UDP datagrams from node to node: a report is useful for a
few milliseconds only, and its loss does no other harm. Reports affect no guarantee,
only which endpoint is preferred for a moment.
"""

from google.protobuf.message import DecodeError

from hingesill_api.generated import hingesill_pb2 as pb

__all__ = ["Announcements"]

SUSPICION_INTERVAL_SECONDS = 0.02
MAX_PEERS = 32
MAX_DATAGRAMS_PER_SECOND = 200


class Announcements:
    """Sends and receives announcements about endpoints.

    Parameters
    ----------
    blackboard : Blackboard
        Its ``peers`` are the control addresses of other nodes.
    team : str
        Messages of another team are ignored.
    announce_drain : callable
        Distributes an endpoint's drain notice.
    counters : Counters
        Counts ``suspicions``.
    """

    def __init__(self, blackboard, team, announce_drain, counters):
        self.blackboard = blackboard
        self.counters = counters
        self.team = team
        self.announce_drain = announce_drain
        self.is_connected = True
        self._announced_at = {}
        self._port = None
        self._on_suspicion = None
        self._current_second = 0
        self._sent_this_second = 0

    def start(self, port, on_suspicion):
        """Start sending and receiving on the node's socket.

        Parameters
        ----------
        port : DatagramPort
            The node's socket; datagrams without another handler are handled here.
        on_suspicion : callable
            Called with an endpoint's address and a ratio.
        """
        self._port = port
        self._on_suspicion = on_suspicion
        port.register_default(self._handle_datagram)

    def _handle_datagram(self, data, sender):
        try:
            message = pb.Suspicion.FromString(data)
        except DecodeError:
            self.counters.add("suspicions", "invalid")
            return
        if message.team == self.team and message.ratio > 1.0:
            self.counters.add("suspicions", "heard")
            self._on_suspicion(message.endpoint, message.ratio)

    def announce_suspicion(self, endpoint, ratio, now):
        """Announce to other nodes that an endpoint's answer is overdue.

        Notes
        -----
        Limited to one announcement per endpoint in `SUSPICION_INTERVAL_SECONDS`, to
        `MAX_PEERS` nodes, and to `MAX_DATAGRAMS_PER_SECOND` in total.
        """
        if (
            self._port is None
            or now - self._announced_at.get(endpoint, 0.0) < SUSPICION_INTERVAL_SECONDS
        ):
            return
        self._announced_at[endpoint] = now
        message = pb.Suspicion(team=self.team, endpoint=endpoint, ratio=ratio)
        data = message.SerializeToString()
        self.counters.add("suspicions", "told")
        for peer in self.blackboard.peers[:MAX_PEERS]:
            if not self._may_send(now):
                return
            try:
                self._port.send(data, peer)
            except OSError:
                continue  # Treated like a lost datagram.

    def _may_send(self, now):
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._sent_this_second = 0
        self._sent_this_second += 1
        return self._sent_this_second <= MAX_DATAGRAMS_PER_SECOND
