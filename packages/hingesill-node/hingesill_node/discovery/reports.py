"""What a follower reports to its relay: what its answers told of endpoints' slots."""

import random

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.datapath.transport import TRANSPORT_ERRORS
from hingesill_node.discovery.codec import encode
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["LARGEST_REPORT", "NEWS_PATH", "Reporter"]

NEWS_PATH = "/directory/news"
# Until the fleet knows enough: a fleet that starts with nothing learns what is usual in
# one round and the levels in the next, and a burst may come at once. A relay of 80
# followers takes 53 reports a second then, some 0.2 KB for each service.
FIRST_SECONDS = 1.5
# From then on; what changes is known some 10 s later. Source: chosen.
REPORT_SECONDS = 8.0
# A relay answers at once.
ANSWER_SECONDS = 0.5
# Bytes; a guard of the relay's memory, enough for hundreds of services.
LARGEST_REPORT = 256 * 1024
LONGEST_ANSWER = 1024
TAKEN = 204


class Reporter:
    """Reports to the relay that this node follows, as long as it follows one.

    Notes
    -----
    A report that is lost costs some answers of evidence; the next one has newer ones.

    Parameters
    ----------
    find_relay : callable
        Returns the NodeRecord of the relay that is followed, or None.
    runners : RunnerTable
        Has what was learnt here.
    """

    def __init__(self, find_relay, runners):
        self.find_relay = find_relay
        self.runners = runners

    def run(self):
        """Work until the process ends."""
        while True:
            pause = REPORT_SECONDS if self.runners.is_settled() else FIRST_SECONDS
            eventlet.sleep(pause * random.uniform(0.7, 1.3))
            self.report()

    def report(self):
        """Send what is new, if there is a relay to tell it."""
        relay = self.find_relay()
        news = self.runners.take_news() if relay is not None else None
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
