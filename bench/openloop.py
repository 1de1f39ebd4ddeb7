"""Open-loop load: requests are sent at set times, independent of the answers."""

import heapq
import time
from dataclasses import dataclass

import eventlet

from hingesill_node.datapath.connections import ConnectFailed, EndpointConnection

__all__ = ["Arrival", "Sample", "compute_quantile", "draw_arrivals", "run_arrivals"]

ANSWER_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Scheduled request.

    Parameters
    ----------
    at : float
        Seconds from the start of the run.
    address : str
        Target address.
    method, path : str
        Method and path of the request.
    """

    at: float
    address: str
    method: str
    path: str


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of an arrival; its latency counts from the scheduled time."""

    arrival: Arrival
    status: int
    seconds: float
    reason: str


def draw_arrivals(rng, rate, seconds, addresses, requests):
    """Return Poisson arrivals.

    Parameters
    ----------
    rng : random.Random
        Random number generator for times and choices.
    rate : float
        Requests per second.
    seconds : float
        Length of the run.
    addresses : list of str
        Targets; each arrival draws one.
    requests : list of tuple
        Method, path and weight.
    """
    arrivals = []
    at = rng.expovariate(rate)
    weights = [weight for _, _, weight in requests]
    while at < seconds:
        method, path, _ = rng.choices(requests, weights)[0]
        arrivals.append(Arrival(at, rng.choice(addresses), method, path))
        at += rng.expovariate(rate)
    return arrivals


class Sender:
    """Sender of requests that reuses connections, one request at a time on each."""

    def __init__(self):
        self.idle = {}
        self.samples = []
        self.open = 0

    def send(self, arrival, due):
        """Send one request and record its result."""
        connection = None
        try:
            connection = self._acquire_connection(arrival.address)
            connection.collect()
            connection.begin(arrival.method, arrival.path)
            connection.putheader("Host", arrival.address)
            body = b"e2e4" if arrival.method == "POST" else b""
            if body:
                connection.putheader("Content-Length", str(len(body)))
            connection.endheaders(body or None)
            connection.flush()
            connection.set_time_limit(ANSWER_TIMEOUT_SECONDS)
            response = connection.read_head()
            response.read_whole()
            reason = response.get("Hingesill-Reason") or ""
            sample = Sample(arrival, response.status, time.monotonic() - due, reason)
            if response.can_keep:
                self.idle.setdefault(arrival.address, []).append(connection)
                connection = None
        except (OSError, ConnectFailed) as error:
            name = type(error).__name__
            sample = Sample(arrival, 0, time.monotonic() - due, name)
        finally:
            if connection is not None:
                connection.close()
            self.open -= 1
        self.samples.append(sample)

    def _acquire_connection(self, address):
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.has_input():
                return connection
            connection.close()
        connection = EndpointConnection(address)
        connection.open()
        return connection

    def close(self):
        """Close all connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()


def run_arrivals(arrivals, sender=None):
    """Send all arrivals at their scheduled times and return the samples."""
    sender = sender or Sender()
    sender.samples = []
    start = time.monotonic() + 0.02
    for arrival in arrivals:
        due = start + arrival.at
        pause = due - time.monotonic()
        if pause > 0:
            eventlet.sleep(pause)
        sender.open += 1
        eventlet.spawn_n(sender.send, arrival, due)
    while sender.open:
        eventlet.sleep(0.01)
    return sender.samples


def compute_quantile(values, share):
    """Return the quantile of the values at the given share.

    Raises
    ------
    ValueError
        If there are no values.
    """
    if not values:
        raise ValueError("no values")
    count = max(1, round(len(values) * (1 - share)))
    return heapq.nlargest(count, values)[-1]
