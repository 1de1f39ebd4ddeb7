"""What a node tells others of endpoints: leaving ones, overdue answers.

Overdue answers go by UDP from hub to hub: they are worth something for a few
milliseconds only, and a lost one costs nothing but that. What is told changes
no promise, only which endpoint is preferred for a moment.
"""

from google.protobuf.message import DecodeError

from hingesill_api.generated import hingesill_pb2 as pb

__all__ = ["Announcements"]

PAUSE_SECONDS = 0.02
MOST_PEERS = 32
MOST_A_SECOND = 200


class Announcements:
    """Tells and hears of endpoints.

    Parameters
    ----------
    blackboard : Blackboard
        Its ``peers`` are the control addresses of other nodes.
    team : str
        Messages of another team are ignored.
    announce_drain : callable
        Spreads an endpoint's own sign that it is leaving.
    counters : Counters
        Gets ``suspicions``.
    """

    def __init__(self, blackboard, team, announce_drain, counters):
        self.blackboard = blackboard
        self.counters = counters
        self.team = team
        self.announce_drain = announce_drain
        self.is_connected = True
        self._told = {}
        self._port = None
        self._hear = None
        self._second = 0
        self._sent = 0

    def start(self, port, hear):
        """Begin with the node's socket.

        Parameters
        ----------
        port : DatagramPort
            The node's; what has no other taker is taken here.
        hear : callable
            Called with an endpoint's address and a ratio.
        """
        self._port = port
        self._hear = hear
        port.register_default(self._take)

    def _take(self, data, sender):
        try:
            message = pb.Suspicion.FromString(data)
        except DecodeError:
            self.counters.add("suspicions", "invalid")
            return
        if message.team == self.team and message.ratio > 1.0:
            self.counters.add("suspicions", "heard")
            self._hear(message.endpoint, message.ratio)

    def announce_suspicion(self, endpoint, ratio, now):
        """Tell other nodes that an endpoint's answer is overdue.

        Notes
        -----
        Bounded: once in `PAUSE_SECONDS` an endpoint, to `MOST_PEERS` nodes,
        `MOST_A_SECOND` datagrams a second in all.
        """
        if self._port is None or now - self._told.get(endpoint, 0.0) < PAUSE_SECONDS:
            return
        self._told[endpoint] = now
        message = pb.Suspicion(team=self.team, endpoint=endpoint, ratio=ratio)
        data = message.SerializeToString()
        self.counters.add("suspicions", "told")
        for peer in self.blackboard.peers[:MOST_PEERS]:
            if not self._may_send(now):
                return
            try:
                self._port.send(data, peer)
            except OSError:
                continue  # A datagram that cannot be sent counts as lost.

    def _may_send(self, now):
        if int(now) != self._second:
            self._second = int(now)
            self._sent = 0
        self._sent += 1
        return self._sent <= MOST_A_SECOND
