"""Starts nodes as the deploy file says, and the stand-ins around them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from pathlib import Path

from kit3.http import read_body, read_head
from kit3.store import Store

__all__ = ["Answer", "Record", "Scene", "call", "main"]

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 64,
    "recovery_s": 15,
    "probes_per_s": 60,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 16 * 1024 * 1024,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 30000,
}
START_SECONDS = 20.0


class Record:
    """Writes record.txt: seconds since the start, and words."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w")

    def __call__(self, *words):
        seconds = time.monotonic() - self._began
        print(f"{seconds:9.3f}", *words, file=self._file, flush=True)

    def say(self, *words):
        """Write a line to the record and to the standard output."""
        self(*words)
        print(*words, flush=True)


class Node:
    """One process of the deploy file's role."""

    def __init__(self, folder, name, zone, store):
        front, ready, control, forward = find_ports(4)
        self.name = name
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        settings = {
            "node_name": name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r1",
            "port_range": [control, forward],
            "seeds": [],
            "bootstrap": False,
            "fault_counted": False,
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": 1500,
            "contracts": "base drain config cost retry recover health".split(),
            "bounds": [f"{name}={value}" for name, value in BOUNDS.items()],
            "zones": {"z1": "r1", "z2": "r1"},
            "listen": {"front": self.front, "ready": self.ready},
            "limits": {
                "cpu_share": 0.86,
                "cpu_cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "platform": {
                "address": store,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.file = Path(folder) / f"{name}.json"
        self.file.write_text(json.dumps(settings))
        self.log = Path(folder) / f"{name}.log"
        self.process = None
        self.start()

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "EVENTLET_NO_GREENDNS": "yes",
            "HINGESILL_BUNDLE": "target/start.bundle",
            "PYTHONPATH": "target/deps",
            "HINGESILL_SETTINGS": str(self.file),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/run.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        """Return whether the process answers 200 to the platform's question."""
        try:
            answer = await asyncio.wait_for(
                call(self.ready, "GET", "/api/ready", {}), 1.0
            )
        except asyncio.TimeoutError:
            return False
        return answer.status == 200

    def end(self):
        """Kill the process, if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(5)


class Scene:
    """A store, a configuration, backends and nodes."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.nodes = []

    async def start(self, nodes):
        """Start nodes; the store has to run and to hold a configuration."""
        for number in range(nodes):
            zone = f"z{1 + number % 2}"
            self.nodes.append(
                Node(self.folder, f"front-{number}", zone, self.store.address)
            )
        for node in self.nodes:
            await self.wait_ready(node)

    async def wait_ready(self, node):
        """Wait until a node is ready."""
        until = time.monotonic() + START_SECONDS
        while not await node.is_ready():
            if time.monotonic() > until or node.process.poll() is not None:
                raise RuntimeError(f"{node.name} does not get ready")
            await asyncio.sleep(0.05)

    def declare(self, version, routes, services):
        """Write a version of the configuration."""
        document = {"version": f"r{version}", "routes": routes, "services": services}
        self.store.put("op/config", {**document, "limits": LIMITS})
        self.record("config", f"r{version}")

    def close(self):
        """End all processes."""
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: status 0 if there was no whole answer."""

    def __init__(self, status, fields=None, body=b"", error="", seconds=0.0):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.error = error
        self.seconds = seconds


async def call(address, method, target, headers, body=b"", seconds=None):
    """Return the Answer to one request on a new connection.

    Parameters
    ----------
    seconds : float or None
        Time after which the client gives up and closes its connection.
    """
    began = time.monotonic()
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": "a.example", **headers}
            if body or method == "POST":
                fields["Content-Length"] = len(body)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            sending = asyncio.create_task(send(writer, body))
            try:
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError("closed without an answer")
                content = await read_body(reader, head, is_answer=True)
            finally:
                sending.cancel()
        status = int(head.first.split(" ")[1])
        return Answer(status, head.fields, content, "", time.monotonic() - began)
    except TimeoutError:
        return Answer(0, error="none in time", seconds=time.monotonic() - began)
    except (OSError, asyncio.IncompleteReadError) as error:
        text = f"{type(error).__name__}"
        return Answer(0, error=text, seconds=time.monotonic() - began)
    finally:
        if writer is not None:
            writer.close()


async def send(writer, body):
    """Send a body."""
    try:
        writer.write(body)
        await writer.drain()
    except OSError:
        pass


def new_attempt():
    """Return a new id of an attempt."""
    return uuid.uuid4().hex[:16]


def find_ports(count):
    """Return consecutive free ports, none of which the kernel gives to clients."""
    while True:
        first = random.randrange(15_000, 30_000, 8)
        ports = range(first, first + count)
        socks = [socket.socket() for _ in ports]
        try:
            for sock, port in zip(socks, ports):
                sock.bind(("127.0.0.1", port))
            return list(ports)
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


def main(run, folder, has_trouble):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(folder)
    record.say("disruption:", "yes" if has_trouble else "no")
    scene = None

    async def play():
        nonlocal scene
        # Tasks of the stand-ins that are cut off at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        scene = Scene(record)
        await scene.store.start()
        return await run(scene)

    code = 2
    try:
        code = 1 if asyncio.run(play()) else 0
    except Exception as error:  # Whatever fails here, the case could not run.
        record.say("could not run:", repr(error))
    finally:
        if scene is not None:
            scene.close()
    record.say({0: "held", 1: "BROKEN", 2: "not run"}[code])
    sys.exit(code)
