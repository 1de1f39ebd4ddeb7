"""Reports of a follower's observations of endpoints to its relay."""

import random
import time

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection
from hingesill_node.datapath.transport import TRANSPORT_ERRORS
from hingesill_node.discovery.codec import encode
from hingesill_node.telemetry.events import Event, log_event

__all__ = ["MAX_REPORT_BYTES", "REPORT_PATH", "Reporter"]

REPORT_PATH = "/directory/news"
# Interval of reports on services of which the fleet has too few observations. A fleet
# without any learns baseline latencies in one round and concurrency levels in the next,
# and a burst may come at once.
URGENT_REPORT_SECONDS = 1.5
# Interval of reports on all services; changes are known to the fleet some 10 s later.
FULL_REPORT_SECONDS = 8.0
# A relay responds at once.
RESPONSE_TIMEOUT_SECONDS = 0.5
# Bounds the relay's memory; enough for hundreds of services.
MAX_REPORT_BYTES = 256 * 1024
MAX_RESPONSE_BYTES = 1024
NO_CONTENT = 204


class Reporter:
    """Sends reports to the relay that this node follows, if there is one.

    Parameters
    ----------
    find_relay : callable
        Returns the NodeRecord of the followed relay, or None.
    runners : RunnerTable
        Holds this node's observations.
    clock : callable
        Monotonic seconds.

    Notes
    -----
    A lost report loses the observations of some responses; the next report has newer
    ones.
    """

    def __init__(self, find_relay, runners, clock=time.monotonic):
        self.find_relay = find_relay
        self.runners = runners
        self.clock = clock
        self._next_full_report_at = clock() + FULL_REPORT_SECONDS

    def run(self):
        """Report repeatedly until the process ends."""
        while True:
            eventlet.sleep(URGENT_REPORT_SECONDS * random.uniform(0.7, 1.3))
            self.report()

    def report(self):
        """Send unreported observations, if a relay is followed."""
        relay = self.find_relay()
        if relay is None:
            return
        only_urgent = self.clock() < self._next_full_report_at
        if not only_urgent:
            self._next_full_report_at = self.clock() + FULL_REPORT_SECONDS
        report = self.runners.take_unreported(only_urgent)
        if report is None:
            return
        connection = EndpointConnection(relay.address)
        try:
            status = post(connection, encode(report))
        except (ConnectFailed, ValueError, *TRANSPORT_ERRORS) as error:
            status = f"{type(error).__name__} {error}"
        finally:
            connection.close()
        if status != NO_CONTENT:
            log_event(Event.REPORT_LOST, relay=relay.name, detail=str(status))


def post(connection, body):
    """Send a report on a new connection; return the response's status."""
    connection.open()
    connection.set_time_limit(RESPONSE_TIMEOUT_SECONDS)
    connection.collect()
    connection.begin("POST", REPORT_PATH)
    connection.putheader("Host", connection.address)
    connection.putheader("Connection", "close")
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders()
    connection.send(body)
    connection.flush()
    response = connection.read_head()
    response.read_short(MAX_RESPONSE_BYTES)
    return response.status
