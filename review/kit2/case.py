"""Frame of a case: its parts, its record and its exit code."""

import asyncio
import os
import sys
import tempfile
import time
import uuid
from pathlib import Path

from kit2.backend import Backend
from kit2.http import read_response
from kit2.nodes import Node
from kit2.store import Store

__all__ = ["HAS_TROUBLE", "Case", "build_configuration", "build_route", "play"]

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_FAILED = 0, 1, 2
MAX_SECONDS = 100.0


def build_route(path, kind, service, timeout_ms=2000):
    """Return a route of a configuration."""
    return {
        "host": "a.example", "path_prefix": path, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 1,
        "service": service, "max_attempts": 2,
    }  # fmt: skip


def build_configuration(version, routes, services):
    """Return a configuration; `routes` is a dict by name."""
    entry = {"health_path": "/health", "max_connections": 220}
    limits = {
        "max_header_bytes": 16384, "max_body_bytes": 67108864,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    }  # fmt: skip
    return {
        "version": f"r{version}", "routes": routes, "limits": limits,
        "services": {name: entry for name in services},
    }  # fmt: skip


class Attempt:
    """One request of a client.

    Attributes
    ----------
    sent_at, ended_at : float or None
        When its last byte was sent, and when its final answer or the end of its
        connection arrived.
    status : str
        Status of its answer, or what became of it.
    runs : list of tuple
        Time and identity of each backend that ran it.
    """

    def __init__(self, node, path):
        self.id = uuid.uuid4().hex[:16]
        self.node, self.path = node.name, path
        self.sent_at = self.ended_at = None
        self.status = "open"
        self.runs = []


class Case:
    """Frame of a case.

    Attributes
    ----------
    rule : str
        What the last line of the record names.
    """

    rule = ""
    stale_seconds = 0.0
    zones = ("saiq", "wadi-bani", "saiq")
    backend_class = Backend
    backend_options = {}

    def __init__(self, folder):
        self.folder = folder
        self.lines = []
        self.attempts = {}
        self.store = Store(self.stale_seconds)
        self.nodes = []
        self.backends = []

    def note(self, text, at=None):
        """Add a line to the record."""
        self.lines.append((time.monotonic() if at is None else at, text))

    def record_run(self, at, event, backend, request):
        """Record that a backend runs a request."""
        name = request.get("x-attempt-id")
        self.attempts[name].runs.append((at, backend))
        self.note(f"{name} runs at {backend}", at)

    async def add_backend(self, identity, service, zone):
        """Start a backend and write its entry."""
        backend = self.backend_class(
            identity, service, zone, self.record_run, **self.backend_options
        )
        await backend.start()
        await backend.enter(self.store)
        self.backends.append(backend)
        return backend

    async def find_store(self, number):
        """Return the address at which a node finds the store."""
        return self.store.address

    async def start_nodes(self):
        """Start all nodes and wait until they are ready."""
        for number, zone in enumerate(self.zones, 1):
            address = await self.find_store(number)
            node = Node(self.folder, f"front-{zone}-{number}", zone, address)
            node.start()
            self.nodes.append(node)
        for node in self.nodes:
            await node.wait_ready()

    async def send(
        self, node, method, path, body=b"", deadline_ms=2000, seconds=None, fields=""
    ):
        """Send one request to a node, record its answer and return the Attempt."""
        item = Attempt(node, path)
        self.attempts[item.id] = item
        seconds = deadline_ms / 1000 if seconds is None else seconds
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
            head = (
                f"{method} {path}{item.id} HTTP/1.1\r\nHost: a.example\r\n"
                f"X-Attempt-Id: {item.id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                f"{fields}Content-Length: {len(body)}\r\n\r\n"
            )
            item.sent_at = time.monotonic()
            self.note(f"{item.id} sent to {node.name} {method} {path}", item.sent_at)
            await asyncio.wait_for(
                self._exchange(item, reader, writer, head, body), seconds
            )
        except asyncio.TimeoutError:
            item.status = "no answer"
        except (OSError, asyncio.IncompleteReadError) as error:
            item.status = f"{type(error).__name__}"
            item.ended_at = time.monotonic()
        finally:
            if writer is not None:
                writer.transport.abort()
        self.note(f"{item.id} {item.status}")
        return item

    async def _exchange(self, item, reader, writer, head, body):
        writer.write(head.encode() + body)
        answer = await read_response(reader)
        item.ended_at = time.monotonic()
        item.status = answer.first[1]

    def write_record(self, findings):
        """Write the record of what was sent, run and answered."""
        first = min((at for at, _ in self.lines), default=0.0)
        with open("record.txt", "w") as file:
            for at, text in sorted(self.lines):
                file.write(f"{at - first:9.3f} {text}\n")
            for text in findings or [f"{self.rule} held"]:
                file.write(text + "\n")

    async def run(self):
        """Play the case; return the findings, empty if the rule held."""
        raise NotImplementedError


async def play_case(build):
    """Play a case and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        case = build(Path(folder))
        try:
            findings = await asyncio.wait_for(case.run(), MAX_SECONDS)
        except Exception as error:
            print(f"the case could not run: {error!r}", flush=True)
            return EXIT_FAILED
        finally:
            for node in case.nodes:
                node.end()
                if os.environ.get("KEEP_LOGS"):
                    os.system(f"cp {node.log} {os.environ['KEEP_LOGS']}/")
        case.write_record(findings)
        print("\n".join(findings) or f"{case.rule} held", flush=True)
        return EXIT_BROKEN if findings else EXIT_HELD


def play(build):
    """Play a case and end the process with its exit code."""
    code = asyncio.new_event_loop().run_until_complete(play_case(build))
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)
