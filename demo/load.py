"""Callers that send reads and moves, and keep the responses."""

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
    """One request with its outcome.

    Parameters
    ----------
    request_id : str
        Request id that was sent.
    repeatable : bool
        Whether its route is declared as repeatable.
    outcome : str
        ``answered``, ``not-run``, ``unknown``, or ``cut`` if the connection broke.
    reason : str
        Reason of the node's refusal, if any.
    whole : bool
        Whether the response was complete and belonged to this request.
    seconds : float
        Time from sending to the complete response.
    status : int
        Status of the response; 0 if there was none.
    limit : float
        Time limit of the request, in seconds.
    retry_after : str
        Value of the response's Retry-After header.
    key : str
        Key that was sent; empty for none.
    started : float
        Monotonic time in seconds at which it was sent.
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
    key: str = ""
    started: float = 0.0


@dataclass
class Caller:
    """A thread that sends requests one after another until stopped.

    Parameters
    ----------
    get_addresses : callable
        Function that returns the node addresses in use by the platform's balancer.
    requests : list of tuple
        Method, path and whether it is repeatable; sent in turn.
    pause : float
        Time between requests, in seconds.
    limit : float
        Declared time limit of a request, in seconds.
    key : str
        Key of an organisation; empty for none.
    """

    get_addresses: object
    requests: list
    pause: float = 0.0
    limit: float = 10.0
    key: str = ""
    calls: list = field(default_factory=list)

    def __post_init__(self):
        self._stop = threading.Event()
        self._pool = urllib3.PoolManager(retries=False)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread; return this object."""
        self._thread.start()
        return self

    def stop(self):
        """Stop after the request in flight."""
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
        headers = {"Hingesill-Request-Id": request_id}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        body = b"e2e4" if method in ("POST", "PUT") else None
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                timeout=10.0,
            )
        except urllib3.exceptions.HTTPError as error:
            seconds = time.monotonic() - started
            reason = type(error).__name__
            return Call(
                request_id,
                repeatable,
                "cut",
                reason,
                False,
                seconds,
                limit=self.limit,
                key=self.key,
                started=started,
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
            self.key,
            started,
        )

    def _is_own(self, response, request_id):
        if response.status >= 500:
            return True
        return json.loads(response.data)["id"] == request_id


def count_outcomes(calls):
    """Return the number of calls by outcome and reason."""
    return Counter(f"{c.outcome} {c.reason}".strip() for c in calls)
