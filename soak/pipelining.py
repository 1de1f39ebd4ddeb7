"""Callers that use their connections until the node closes them.

Some pipeline requests and read slowly; others leave connections idle and use them
when a node that stops closes its address.
"""

import random
import socket
import threading
import time
import uuid
from dataclasses import dataclass

from matrix.evidence import Violation

__all__ = ["PipeliningCaller", "IdleConnections", "SentRequest", "check_sent"]

TIMEOUT_SECONDS = 5.0
RECEIVE_BUFFER_BYTES = 8 * 1024
READ_BYTES = 4 * 1024
READ_PAUSE_SECONDS = 0.005
PAUSE_SECONDS = 0.05
POLL_PAUSE_SECONDS = 0.002
BURSTS = 15
BURST_SECONDS = 0.004
MAX_PIPELINED = 3
MAX_ROUNDS = 8
MAX_IDLE_SECONDS = 0.15
NARROW_SHARE = 0.6


@dataclass
class SentRequest:
    """A request and how it ended.

    Parameters
    ----------
    request_id : str
        Id of the request.
    address : str
        Address of the node.
    sent_at : float
        Monotonic seconds.
    outcome : str
        ``answered``; ``reset`` if its answer was cut by a reset, ``short`` if it ended
        early; ``unanswered`` if the connection ended before it; ``waiting`` if the
        caller gave up.
    detail : str
        What was received, for the report.
    """

    request_id: str
    address: str
    sent_at: float
    outcome: str = "waiting"
    detail: str = ""


class AnswerReader:
    """Reads answers with a length from a connection, slowly or at once."""

    def __init__(self, sock, is_narrow):
        self.sock = sock
        self.is_narrow = is_narrow
        self.buffer = b""

    def read(self, sent):
        """Read the answer to a request; return whether a further one may follow."""
        try:
            head = self._read_until(b"\r\n\r\n")
            lowered = head.lower()
            length = int(lowered.split(b"content-length:")[1].split(b"\r\n")[0])
            while len(self.buffer) < length:
                self._receive()
        except EOFError:
            sent.outcome = "short" if self.buffer else "unanswered"
        except ConnectionError as error:
            sent.outcome = "reset" if self.buffer else "unanswered"
            sent.detail = f"{type(error).__name__} after {len(self.buffer)} bytes"
        except TimeoutError:
            pass
        else:
            self.buffer = self.buffer[length:]
            sent.outcome = "answered"
            return b"connection: close" not in lowered
        return False

    def _read_until(self, end):
        while end not in self.buffer:
            self._receive()
        head, _, self.buffer = self.buffer.partition(end)
        return head

    def _receive(self):
        if self.is_narrow:
            time.sleep(READ_PAUSE_SECONDS)
        data = self.sock.recv(READ_BYTES if self.is_narrow else 1 << 20)
        if not data:
            raise EOFError
        self.buffer += data


def connect(address, is_narrow):
    """Return a connection, with a small receive buffer if it is narrow."""
    host, port = address.split(":")
    sock = socket.socket()
    if is_narrow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(TIMEOUT_SECONDS)
    try:
        sock.connect((host, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


class PipeliningCaller:
    """A thread that pipelines requests until it is stopped.

    Parameters
    ----------
    get_addresses : callable
        Returns the addresses of the nodes in use.
    build_request : callable
        Returns the bytes of a repeatable request with an id.
    seed : str
        Seed of its random choices.

    Attributes
    ----------
    sent : list of SentRequest
        All requests.
    """

    def __init__(self, get_addresses, build_request, seed):
        self.get_addresses = get_addresses
        self.build_request = build_request
        self.sent = []
        self._rng = random.Random(seed)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start to send; return the caller."""
        self._thread.start()
        return self

    def request_stop(self):
        """Stop after the answers that are due, without waiting."""
        self._stopped.set()

    def stop(self):
        """Stop after the answers that are due."""
        self._stopped.set()
        self._thread.join(3 * TIMEOUT_SECONDS)

    def _run(self):
        while not self._stopped.wait(PAUSE_SECONDS):
            addresses = self.get_addresses()
            try:
                if addresses:
                    self._use_connection(self._rng.choice(addresses))
            except OSError:
                pass  # The node has ended.

    def _use_connection(self, address):
        is_narrow = self._rng.random() < NARROW_SHARE
        with connect(address, is_narrow) as sock:
            reader = AnswerReader(sock, is_narrow)
            for _ in range(self._rng.randint(1, MAX_ROUNDS)):
                if self._stopped.is_set() or not self._send_pipelined(reader, address):
                    return
                time.sleep(self._choose_pause())

    def _choose_pause(self):
        """Return seconds for which the connection is idle."""
        return self._rng.choice((0, self._rng.uniform(0, MAX_IDLE_SECONDS)))

    def _send_pipelined(self, reader, address):
        """Send some requests and read the answers; return whether all were answered."""
        requests = []
        for _ in range(1 + self._rng.randint(0, MAX_PIPELINED)):
            requests.append(SentRequest(uuid.uuid4().hex, address, time.monotonic()))
        self.sent.extend(requests)
        try:
            for sent in requests:
                reader.sock.sendall(self.build_request(sent.request_id))
        except OSError:
            pass  # What the node has sent before can still be read.
        return read_answers(reader, requests)


class IdleConnections:
    """Idle connections that send again when an address is closed.

    Parameters
    ----------
    address : str
        Address of a node.
    build_request : callable
        Returns the bytes of a request with an id.
    rng : random.Random
        Chooses the moments.
    count : int
        Number of connections.
    """

    def __init__(self, address, build_request, rng, count):
        self.address = address
        self.build_request = build_request
        self.rng = rng
        self.sent = []
        self._readers = []
        for _ in range(count):
            reader = AnswerReader(connect(address, False), False)
            if self._send(reader) and reader.read(self.sent[-1]):
                self._readers.append(reader)

    def _send(self, reader):
        """Send a request; return whether the connection took it."""
        sent = SentRequest(uuid.uuid4().hex, self.address, time.monotonic())
        self.sent.append(sent)
        try:
            reader.sock.sendall(self.build_request(sent.request_id))
        except OSError:
            sent.outcome = "unanswered"
            return False
        return True

    def send_around(self, earliest, latest, admin):
        """Send twice on each connection between two times, then read the answers.

        Parameters
        ----------
        earliest, latest : float
            Monotonic seconds.
        admin : str
            Admin address, which is polled meanwhile as the platform's balancer does.
        """
        polling = threading.Event()
        threading.Thread(target=poll_until, args=(admin, polling), daemon=True).start()
        moments = self._choose_moments(earliest, latest)
        pending = []
        for moment, reader in zip(moments, self._readers):
            time.sleep(max(0.0, moment - time.monotonic()))
            first = len(self.sent)
            if self._send(reader):
                self._send(reader)
            pending.append((reader, self.sent[first:]))
        polling.set()
        for reader, requests in pending:
            read_answers(reader, requests)

    def _choose_moments(self, earliest, latest):
        """Return the sorted moments at which the connections send, in short bursts."""
        bursts = [self.rng.uniform(earliest, latest) for _ in range(BURSTS)]
        return sorted(
            self.rng.choice(bursts) + self.rng.uniform(0, BURST_SECONDS)
            for _ in self._readers
        )

    def close(self):
        """Close all connections."""
        for reader in self._readers:
            reader.sock.close()


def read_answers(reader, requests):
    """Read the answers to requests; return whether the connection can be used again."""
    for number, sent in enumerate(requests):
        if not reader.read(sent):
            has_given_up = sent.outcome == "waiting"
            for later in requests[number + 1 :]:
                later.outcome = "waiting" if has_given_up else "unanswered"
            return False
    return True


def poll_until(address, stopped):
    """Poll the readiness of a node on new connections until an event is set."""
    while not stopped.wait(POLL_PAUSE_SECONDS):
        try:
            with connect(address, False) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                sock.recv(READ_BYTES)
        except OSError:
            return  # The node has ended.


def check_sent(requests, ran, unplanned=()):
    """Yield a violation for each request that was lost without an unplanned fault.

    Parameters
    ----------
    requests : iterable of SentRequest
        All requests.
    ran : collections.Counter
        How often each request id ran.
    unplanned : iterable of str
        Addresses of nodes whose connections were cut.
    """
    for sent in requests:
        if sent.address in unplanned:
            continue
        if sent.outcome == "reset":
            yield Violation(sent.request_id, f"answer cut by a reset: {sent.detail}")
        if sent.outcome == "unanswered" and ran[sent.request_id]:
            yield Violation(sent.request_id, "ran, but its connection had ended")
