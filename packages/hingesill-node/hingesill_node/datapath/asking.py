"""Carrying out questions: each in a green thread, the replies in one queue."""

import eventlet
from eventlet.queue import Empty, LightQueue

from hingesill_core.routing.asking import Reply
from hingesill_core.routing.messages import SendEnd
from hingesill_node.datapath.connections import ConnectFailed
from hingesill_node.datapath.transport import TRANSPORT_ERRORS

__all__ = ["Questions"]

# A reply that takes longer says that the endpoint, or the way to it, is in
# trouble. Source: a round trip between data centres is 3 ms, a reply 6 ms.
REPLY_SECONDS = 0.25
LONGEST_BODY = 64 * 1024


class Questions:
    """The questions of one request, and the connections that brought replies.

    Parameters
    ----------
    runner : ServiceRunner
        The service.
    host : str
        The ``Host`` header of the questions.
    wire : OwnFormat
        The dialect.
    counters : Counters
        Gets ``probes``.
    """

    def __init__(self, runner, host, wire, counters):
        self.runner = runner
        self.host = host
        self.wire = wire
        self.counters = counters
        self.open = 0
        self._replies = LightQueue()
        self._connections = {}
        self._closed = False

    def ask(self, endpoints):
        """Ask endpoints for their load."""
        for endpoint in endpoints:
            pool = self.runner.find_pool(endpoint)
            if pool is not None:
                self.open += 1
                eventlet.spawn_n(self._ask, endpoint, pool)

    def _ask(self, endpoint, pool):
        connection = None
        keep = None
        try:
            connection = pool.take()
            reply, keep = self._call(endpoint, connection)
        except ConnectFailed:
            reply = Reply(endpoint, SendEnd.CONNECT_FAILED)
        except TRANSPORT_ERRORS:
            reply = Reply(endpoint, SendEnd.LOST)
        self._finish(reply, pool, connection, keep)

    def _call(self, endpoint, connection):
        """Return the reply, and the response if the connection can be kept."""
        self.counters.add("probes", self.runner.dispatcher.service.name)
        connection.set_time_limit(REPLY_SECONDS)
        connection.collect()
        connection.begin("GET", self.runner.dispatcher.service.probes.path)
        connection.putheader("Host", self.host)
        connection.endheaders()
        connection.flush()
        response = connection.read_head()
        response.read_short(LONGEST_BODY)
        if not self.wire.is_answer_of(response, endpoint):
            return Reply(endpoint, SendEnd.LOST), None
        runner = self.runner
        own = runner.count_in_flight(endpoint)
        signals = self.wire.read_signals(response, runner.clock(), own)
        reply = Reply(endpoint, SendEnd.ANSWERED, signals.report)
        return reply, response if response.can_keep else None

    def _finish(self, reply, pool, connection, keep):
        """Queue the reply; keep its connection for a send that may follow."""
        if connection is not None and keep is None:
            pool.discard(connection)
            connection = None
        if connection is not None and self._closed:
            pool.give_back(connection, keep.idle_seconds)
        elif connection is not None:
            self._connections[reply.endpoint] = (pool, connection, keep)
        if self._closed:
            self.runner.note_late_reply(reply)
        else:
            self._replies.put(reply)

    def wait(self, seconds):
        """Return the next reply, or None if none comes in time."""
        if not self.open:
            return None
        try:
            reply = self._replies.get(timeout=max(seconds, 0.0))
        except Empty:
            return None
        self.open -= 1
        return reply

    def take_connection(self, endpoint):
        """Return the connection that brought an endpoint's reply, or None."""
        held = self._connections.pop(endpoint, None)
        return held[1] if held is not None else None

    def close(self):
        """Give back the connections that no send needs."""
        self._closed = True
        for pool, connection, response in self._connections.values():
            pool.give_back(connection, response.idle_seconds)
        self._connections.clear()
