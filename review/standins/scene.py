"""A small deployment of the project's program and the stand-ins, on loopback."""

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
import traceback
from pathlib import Path
from urllib.request import Request as Call, urlopen

from http11 import Incomplete, read_response

__all__ = ["Client", "Result", "Scene", "TROUBLE", "now", "run_case"]

STANDINS = Path(__file__).parent
ROOT = STANDINS.parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_SECONDS = 20.0
GRACE_SECONDS = 6.0
ZONES = ("z1", "z2", "z3")
BOUNDS = [
    "seed_lag_s=3",
    "addr_reuse_s=2",
    "contact_ms=3000",
    "ack_ms=4000",
    "catch_up_s=4",
    "drain_ms=2000",
    "grace_s=6",
    "loss_slack_ms=200",
    "config_apply_ms=2000",
    "rollback_slack_ms=250",
    "max_stretch_ms=5000",
    "retry_budget_ratio=0.2",
    "budget_window_s=10",
    "budget_slack=56",
    "recovery_s=15",
    "probes_per_s=60",
]
now = time.monotonic


def run_case(main):
    """Exit with the code of a case; 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = main()
    except Unfit as error:
        print(error)
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)


class Unfit(Exception):
    """The case could not be run."""


def is_free(port):
    """Return whether a loopback port can be bound, for TCP and for UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def find_node_ports(rng=random.Random()):
    """Return four free ports that follow each other, below the ephemeral ones."""
    for _ in range(1000):
        first = 4 * rng.randrange(4_000, 8_000)
        ports = range(first, first + 4)
        if all(map(is_free, ports)):
            return ports
    raise Unfit("no free ports")


class Node:
    """A process of the project's program, started as the deploy file says."""

    def __init__(self, scene, number):
        self.name = f"front-{number}"
        front, ready, control, _ = find_node_ports()
        self.front, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.file = scene.folder / f"{self.name}.json"
        self.log = scene.folder / f"{self.name}.log"
        zone = ZONES[number % len(ZONES)]
        settings = {
            "node_name": self.name,
            "role": "front",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r1",
            "port_range": [control, control + 1],
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "health",
                "platform",
            ],
            "bounds": BOUNDS,
            "zones": {name: "r1" for name in ZONES},
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
                "address": scene.store_addresses[number],
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.file.write_text(json.dumps(settings))
        self.process = None
        self.start()

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", tempfile.gettempdir()),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
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

    def is_ready(self):
        """Return whether the readiness check answers 200."""
        try:
            with urlopen(f"http://{self.ready}/api/ready", timeout=1.0) as answer:
                return answer.status == 200
        except OSError:
            return False


class Scene:
    """A store, backends and nodes, with the balancer's view of the nodes."""

    def __init__(
        self,
        folder,
        services,
        nodes,
        routes,
        idle_timeout_ms=15000,
        options=None,
        special=None,
        tenants=None,
    ):
        self.options = options or {}
        self.special = special or {}
        self.tenants = tenants
        self.links = None
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.output = Path(folder)
        self.helpers = []
        self.nodes = []
        self.record = self.folder / "backends.txt"
        self.record.touch()
        self.lines = []
        self.processes = {}
        self.in_balance = {}
        try:
            self.start(services, nodes, routes, idle_timeout_ms)
        except BaseException:
            self.close()
            raise

    def start(self, services, nodes, routes, idle_timeout_ms):
        """Start all processes and wait until each node is ready."""
        self.store = self.launch("store.py")[1]
        for service, count in services.items():
            for number in range(count):
                self.start_backend(service, number)
        document = {
            "version": "r1",
            "routes": routes,
            "services": {
                name: {"health_path": "/health", "max_connections": 220}
                for name in services
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": idle_timeout_ms,
            },
        }
        if self.tenants is not None:
            document["tenants"] = self.tenants
        self.put("op/config", document)
        self.links, addresses = self.launch("link.py", self.store, str(nodes))
        self.store_addresses = json.loads(addresses)
        for number in range(nodes):
            self.nodes.append(Node(self, number))
        until = now() + READY_SECONDS
        while not all(node.is_ready() for node in self.nodes):
            if now() > until:
                logs = [
                    n.log.read_text()[-600:] for n in self.nodes if not n.is_ready()
                ]
                raise Unfit("\n".join(["the nodes did not become ready", *logs]))
            time.sleep(0.1)
        self.in_balance = {node.name: 0 for node in self.nodes}

    def start_backend(self, service, number):
        """Start a backend with an id of its own."""
        instance = f"i-{service}-{number}"
        zone = ZONES[number % len(ZONES)]
        arguments = (instance, service, zone, self.store, str(self.record))
        options = {**self.options, **self.special.get(instance, {})}
        process, _ = self.launch("backend.py", *arguments, json.dumps(options))
        self.processes[instance] = process

    def launch(self, program, *arguments):
        """Start a stand-in; return its process and the address that it prints."""
        process = subprocess.Popen(
            [sys.executable, str(STANDINS / program), *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.helpers.append(process)
        address = process.stdout.readline().strip()
        if not address:
            raise Unfit(f"{program} did not start")
        return process, address

    def put(self, key, document):
        """Write a key as the operator does."""
        data = json.dumps(document).encode()
        call = Call(f"http://{self.store}/own?key={key}", data, method="PUT")
        urlopen(call, timeout=2.0).read()

    def set_store(self, query):
        """Take the store down, or bring it back."""
        urlopen(f"http://{self.store}/state?{query}", timeout=2.0).read()
        self.note(f"store {query}")

    def cut_from_store(self, numbers):
        """Cut just these nodes from the store, by resets."""
        self.links.stdin.write(json.dumps(numbers) + "\n")
        self.links.stdin.flush()
        self.note(f"nodes without the store: {numbers}")

    async def balance(self):
        """Ask each node each second; two misses take it out of the balance."""
        while True:
            for node in self.nodes:
                ready = await asyncio.to_thread(node.is_ready)
                misses = 0 if ready else self.in_balance[node.name] + 1
                self.in_balance[node.name] = misses
            await asyncio.sleep(1.0)

    def list_balanced(self):
        """Return the nodes that get new connections."""
        nodes = [node for node in self.nodes if self.in_balance[node.name] < 2]
        return nodes or self.nodes

    def note(self, text):
        """Add a line to the record of the case."""
        self.lines.append(f"{now():.4f} {text}")

    def terminate(self, node):
        """Send SIGTERM; return the time."""
        at = now()
        node.process.send_signal(signal.SIGTERM)
        self.note(f"SIGTERM {node.name}")
        return at

    async def wait_for_end(self, node, since):
        """Wait until a node has ended, at most for the grace period; kill it then."""
        while node.process.poll() is None:
            if now() - since > GRACE_SECONDS:
                node.process.kill()
                self.note(f"SIGKILL {node.name}")
            await asyncio.sleep(0.005)
        self.note(f"{node.name} ended with {node.process.returncode}")
        return now()

    def read_runs(self):
        """Return the times at which backends noted something, by attempt."""
        runs = {}
        for line in self.record.read_text().splitlines():
            at, instance, what, attempt, *received = line.split(" ")
            note = (float(at), instance, what, " ".join(received))
            runs.setdefault(attempt, []).append(note)
        return runs

    def write_record(self, results):
        """Write what was sent, answered and run to ``record.txt``."""
        lines = list(self.lines)
        for result in results:
            lines.append(f"{result.sent:.4f} sent {result.describe()}")
        lines += self.record.read_text().splitlines()
        lines.sort(key=lambda line: float(line.split(" ")[0]))
        (self.output / "record.txt").write_text("\n".join(lines) + "\n")

    def close(self):
        """End all processes that this scene started, and remove its folder."""
        for process in [*(node.process for node in self.nodes), *self.helpers]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Result:
    """What a client saw of one request."""

    def __init__(self, attempt, node, path, kind, reused):
        self.attempt = attempt
        self.node = node
        self.path = path
        self.kind = kind
        self.reused = reused
        self.sent = now()
        self.ended = None
        self.status = None
        self.error = ""

    def describe(self):
        """Return the result as a line of the record."""
        end = "-" if self.ended is None else f"{self.ended:.4f}"
        outcome = self.status if not self.error else f"({self.error})"
        connection = "kept" if self.reused else "new"
        return (
            f"{self.attempt} to {self.node} {self.kind} {self.path} on a {connection}"
            f" connection, ended {end}: {outcome}"
        )


class Client:
    """A client that keeps its connection and follows the pages in its use."""

    def __init__(self, scene, number, host="a.example", headers="", links=None):
        self.scene = scene
        self.number = number
        self.host = host
        self.headers = headers
        self.links = links or {}
        self.count = 0
        self.rng = random.Random(number)
        self.node = None
        self.reader = self.writer = None

    async def connect(self, node=None):
        """Open a new connection to a node that the balancer chooses."""
        nodes = self.scene.list_balanced()
        self.node = node or self.rng.choice(nodes)
        address = self.links.get(self.node.name, self.node.front)
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=1 << 22), 1.0
        )

    async def request(self, method, path, kind, budget_ms, body=b""):
        """Send one request and return its Result."""
        self.count += 1
        attempt = f"{self.number:04d}{self.count:04d}"
        if self.writer is not None and self.reader.at_eof():
            self.drop()
        reused = self.writer is not None
        if not reused:
            try:
                await self.connect()
            except (OSError, TimeoutError) as error:
                result = Result(attempt, self.node.name, path, kind, False)
                return self.finish(result, error)
        result = Result(attempt, self.node.name, path, kind, reused)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {budget_ms}\r\n"
            f"{self.headers}"
        )
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            response = await asyncio.wait_for(
                read_response(self.reader), budget_ms / 1000 + 0.5
            )
        except (OSError, Incomplete, TimeoutError) as error:
            return self.finish(result, error)
        result.status = response.status
        if response.headers.get("connection", "").lower() == "close":
            self.drop()
        return self.finish(result)

    def finish(self, result, error=None):
        """Note the end of a request; the connection of a failed one is closed."""
        result.ended = now()
        if error is not None:
            result.error = f"{type(error).__name__} {error}".strip()
            self.drop()
        return result

    def drop(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
