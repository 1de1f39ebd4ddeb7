"""What a follower reports to its relay: what its answers told of endpoints' slots."""

import random
import time

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.datapath.transport import TRANSPORT_ERRORS
from hingesill_node.discovery.codec import encode
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["LARGEST_REPORT", "NEWS_PATH", "Reporter"]

NEWS_PATH = "/directory/news"
# Of services of which the fleet does not know enough: one that starts with nothing
# learns what is usual in one round and the levels in the next, and a burst may come at
# once.
URGENT_SECONDS = 1.5
# Of all services; what changes is known some 10 s later.
REPORT_SECONDS = 8.0
# A relay answers at once.
ANSWER_SECONDS = 0.5
# Bytes; a guard of the relay's memory, enough for hundreds of services.
LARGEST_REPORT = 256 * 1024
LONGEST_ANSWER = 1024
TAKEN = 204


class Reporter:
    """Reports to the relay that this node follows, as long as it follows one.

    Parameters
    ----------
    find_relay : callable
        Returns the NodeRecord of the relay that is followed, or None.
    runners : RunnerTable
        Has what was learnt here.
    clock : callable
        Monotonic seconds.

    Notes
    -----
    A report that is lost costs some answers of evidence; the next one has newer ones.
    """

    def __init__(self, find_relay, runners, clock=time.monotonic):
        self.find_relay = find_relay
        self.runners = runners
        self.clock = clock
        self._all_from = clock() + REPORT_SECONDS

    def run(self):
        """Work until the process ends."""
        while True:
            eventlet.sleep(URGENT_SECONDS * random.uniform(0.7, 1.3))
            self.report()

    def report(self):
        """Send what is new, if there is a relay to tell it."""
        relay = self.find_relay()
        if relay is None:
            return
        only_urgent = self.clock() < self._all_from
        if not only_urgent:
            self._all_from = self.clock() + REPORT_SECONDS
        news = self.runners.take_unreported(only_urgent)
        if news is None:
            return
        connection = EndpointConnection(relay.address)
        try:
            status = post(connection, encode(news))
        except (ConnectFailed, ValueError, *TRANSPORT_ERRORS) as error:
            status = f"{type(error).__name__} {error}"
        finally:
            connection.close()
        if status != TAKEN:
            log_event(Event.REPORT_LOST, relay=relay.name, detail=str(status))


def post(connection, body):
    """Send a report on a new connection; return the status of the answer."""
    connection.open()
    connection.set_time_limit(ANSWER_SECONDS)
    connection.collect()
    connection.begin("POST", NEWS_PATH)
    connection.putheader("Host", connection.address)
    connection.putheader("Connection", "close")
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders()
    connection.send(body)
    connection.flush()
    response = connection.read_head()
    response.read_short(LONGEST_ANSWER)
    return response.status
