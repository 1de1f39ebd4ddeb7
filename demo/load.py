"""Callers that send reads and moves, and keep what they were told."""

import json
import threading
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import urllib3

__all__ = ["Caller", "Call", "count_outcomes"]


@dataclass(frozen=True)
class Call:
    """One request with what became of it.

    Parameters
    ----------
    request_id : str
        As sent.
    repeatable : bool
        Whether its route is declared so.
    outcome : str
        ``answered``, ``not-run``, ``unknown``, or ``cut`` if the connection broke.
    reason : str
        The node's reason, if it refused.
    whole : bool
        Whether the answer was whole and this request's own.
    seconds : float
        From sending to the whole answer.
    status : int
        The answer's status; 0 if there was none.
    limit : float
        Seconds that the request had.
    retry_after : str
        When the caller was told to come back.
    """

    request_id: str
    repeatable: bool
    outcome: str
    reason: str
    whole: bool
    seconds: float
    status: int = 0
    limit: float = 10.0
    retry_after: str = ""


@dataclass
class Caller:
    """Sends requests one after another from a thread until stopped.

    Parameters
    ----------
    get_addresses : callable
        Returns the nodes' addresses that the platform's balancer would use.
    requests : list of tuple
        Method, path and whether it is repeatable; taken in turn.
    pause : float
        Seconds between requests.
    limit : float
        Seconds that a request has by its declaration.
    """

    get_addresses: object
    requests: list
    pause: float = 0.0
    limit: float = 10.0
    calls: list = field(default_factory=list)

    def __post_init__(self):
        self._stop = threading.Event()
        self._pool = urllib3.PoolManager(retries=False)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin; return this object."""
        self._thread.start()
        return self

    def stop(self):
        """End after the request that is under way."""
        self._stop.set()
        self._thread.join(10)

    def _run(self):
        number = 0
        while not self._stop.is_set():
            addresses = self.get_addresses()
            method, path, repeatable = self.requests[number % len(self.requests)]
            address = addresses[number % len(addresses)]
            self.calls.append(self.send(address, method, path, repeatable))
            number += 1
            if self.pause:
                time.sleep(self.pause)

    def send(self, address, method, path, repeatable):
        """Send one request; return the Call."""
        request_id = uuid.uuid4().hex
        started = time.monotonic()
        body = b"e2e4" if method in ("POST", "PUT") else None
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers={"Hingesill-Request-Id": request_id},
                timeout=10.0,
            )
        except urllib3.exceptions.HTTPError as error:
            seconds = time.monotonic() - started
            reason = type(error).__name__
            return Call(
                request_id, repeatable, "cut", reason, False, seconds, 0, self.limit
            )
        seconds = time.monotonic() - started
        outcome = response.headers.get("Hingesill-Outcome", "none")
        reason = response.headers.get("Hingesill-Reason", "")
        whole = outcome != "answered" or self._is_own(response, request_id)
        return Call(
            request_id,
            repeatable,
            outcome,
            reason,
            whole,
            seconds,
            response.status,
            self.limit,
            response.headers.get("Retry-After", ""),
        )

    def _is_own(self, response, request_id):
        if response.status >= 500:
            return True
        return json.loads(response.data)["id"] == request_id


def count_outcomes(calls):
    """Return how many calls there are of each outcome and reason."""
    return Counter(f"{c.outcome} {c.reason}".strip() for c in calls)
