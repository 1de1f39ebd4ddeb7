"""Start test servers and nodes as separate processes, for tests and benchmarks.

Only processes started by this module are terminated by it, each by its process id.
"""

import json
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
import yaml

from hingesill_core.configuration.files import load_declarations
from standins.partition import PartitionFile
from standins.suspension import Suspension

__all__ = ["Fleet", "NodeProcess", "find_free_port", "wait_until"]

FIRST_PORT, LAST_PORT = 20_000, 32_000
START_SECONDS = 20.0
KILL_SECONDS = 5.0
EXIT_TERMINATED = 143
EXAMPLES = Path(__file__).parent.parent / "examples"
BIN = Path(sys.executable).parent


def shuffle_ports():
    """Yield ports below the system's range for outgoing connections.

    Notes
    -----
    The order comes from the system's random source: if a test seeded Python's global
    generator, concurrent test runs would draw the same ports in the same order.
    """
    ports = list(range(FIRST_PORT, LAST_PORT))
    random.SystemRandom().shuffle(ports)
    yield from ports


PORTS = shuffle_ports()


def find_free_port():
    """Return a free loopback port that was not returned before."""
    for port in PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("all ports of the range have been used")


def wait_until(condition, seconds, what):
    """Wait until a condition holds; the TimeoutError names what was expected."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{what}: not reached within {seconds} s")
        time.sleep(0.02)


def call(method, url, content=None):
    """Return the decoded response of a test server."""
    body = None if content is None else json.dumps(content).encode()
    response = urllib3.request(method, url, body=body, timeout=5.0, retries=False)
    return json.loads(response.data)


def exit_normally(*_):
    """Exit normally, so that all context managers are closed."""
    sys.exit(EXIT_TERMINATED)


@dataclass
class NodeProcess:
    """A node process with its addresses."""

    name: str
    data_centre: str
    process: subprocess.Popen
    address: str
    control: str
    admin: str
    log: Path | None = None
    suspension: Suspension | None = None
    holds: str = "all"
    forward_port: int = 0
    partition: PartitionFile | None = None

    def is_ready(self):
        """Return whether ``/ready`` responds with status 200."""
        try:
            url = f"http://{self.admin}/ready"
            response = urllib3.request("GET", url, timeout=1.0, retries=False)
            return response.status == 200
        except urllib3.exceptions.HTTPError:
            return False


@dataclass
class Fleet:
    """A platform, endpoints and nodes on loopback."""

    folder: Path
    processes: list = field(default_factory=list)
    nodes: dict = field(default_factory=dict)
    endpoints: list = field(default_factory=list)
    store: str = ""
    vm_list: str = ""

    def __enter__(self):
        # On SIGTERM the processes started here must be terminated, too.
        signal.signal(signal.SIGTERM, exit_normally)
        return self

    def __exit__(self, *error):
        self.close()

    def start_standin(self, module, *arguments):
        """Start a test server; return the first line of its output."""
        process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{module}", *map(str, arguments)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return process.stdout.readline().strip()

    def start_platform(self):
        """Start the store and the list of VMs."""
        self.store = self.start_standin("store")
        self.vm_list = self.start_standin("vmlist")

    def start_endpoints(self, count, service_ms=4.0, per_process=8):
        """Start endpoints, several per process; return their addresses."""
        started = []
        while len(started) < count:
            number = min(per_process, count - len(started))
            line = self.start_standin("endpoint", number, service_ms)
            started += line.split()
        self.endpoints += started
        return started

    def write_example(self, name, service_ms=4.0):
        """Write an example's declarations with the addresses of started endpoints.

        Returns
        -------
        Path
            The folder.
        """
        folder = self.folder / name
        folder.mkdir()
        declarations, findings = load_declarations(EXAMPLES / name)
        if findings:
            raise ValueError(f"the declarations of example {name} are invalid")
        for declaration in declarations:
            content = declaration.model_dump(mode="json")
            endpoints = content["endpoints"]
            addresses = self.start_endpoints(len(endpoints), service_ms)
            for endpoint, address in zip(endpoints, addresses):
                endpoint["address"] = address
            file = folder / f"{declaration.service}.yaml"
            file.write_text(yaml.safe_dump(content, sort_keys=False))
        return folder

    def start_node(
        self,
        name,
        data_centre="lsn-a",
        wait=True,
        mutation="",
        can_suspend=False,
        can_cut=False,
        program=(str(BIN / "hingesilld"),),
        environment=None,
        **settings,
    ):
        """Start a node, optionally with a mutation; return it once it is ready.

        Notes
        -----
        ``program`` is the command to run, ``environment`` its complete environment
        (that of this process if None). A node that ``can_cut`` accepts forwarded
        requests and can be partitioned from endpoints.
        """
        ports = [find_free_port() for _ in range(3)]
        address, control, admin = (f"127.0.0.1:{port}" for port in ports)
        values = {
            "name": name,
            "data-centre": data_centre,
            "address": address,
            "control-address": control,
            "admin-address": admin,
            "store": self.store,
            "vm-list": self.vm_list,
            "balancer-lag-s": 0.5,
            **settings,
        }
        forward_port = find_free_port() if can_cut else 0
        if can_cut:
            values["forward-port"] = forward_port
        log = self.folder / f"{name}.log"
        partition = PartitionFile(self.folder / f"{name}.partition")
        suspension = Suspension(self.folder / f"{name}.clock")
        with log.open("wb") as output:
            program = list(program)
            if can_cut:
                program = partition.wrap(*program)
            if can_suspend:
                program = suspension.wrap(*program)
            elif can_cut:
                program = [sys.executable, *program]
            if mutation:
                program = [sys.executable, "-m", "matrix.mutant", mutation]
            process = subprocess.Popen(
                program + [f"--{key}={value}" for key, value in values.items()],
                stderr=output,
                stdout=output,
                env=environment,
            )
        holds = "some" if settings.get("services") else "all"
        node = NodeProcess(
            name,
            data_centre,
            process,
            address,
            control,
            admin,
            log,
            suspension,
            holds,
            forward_port,
            partition,
        )
        self.processes.append(process)
        self.nodes[name] = node
        self.put_list()
        if wait:
            self.wait_ready(node)
        return node

    def wait_ready(self, node):
        """Wait until a node is ready."""

        def is_up():
            if node.process.poll() is not None:
                raise RuntimeError(f"{node.name} exited: {node.log.read_text()}")
            return node.is_ready()

        wait_until(is_up, START_SECONDS, f"readiness of {node.name}")

    def put_list(self, leaving=()):
        """Put the running nodes into the platform's list."""
        items = [
            {
                "name": node.name,
                "role": "node",
                "address": node.control,
                "data_centre": node.data_centre,
                "state": "leaving" if node.name in leaving else "live",
                "holds": node.holds,
                "forward_port": node.forward_port,
            }
            for node in self.nodes.values()
        ]
        call("PUT", self.vm_list, items)

    def set_store_faults(self, **faults):
        """Set the store's faults."""
        call("PUT", f"{self.store}/standin/faults", faults)

    def count_store_calls(self):
        """Return the number of calls of the store by kind."""
        return call("GET", f"{self.store}/standin/calls")

    def set_faults(self, endpoint, **faults):
        """Set an endpoint's faults."""
        call("PUT", f"http://{endpoint}/standin/faults", faults)

    def read_record(self, endpoint):
        """Return the record of an endpoint: requests that ran, and counters."""
        return call("GET", f"http://{endpoint}/standin/record")

    def read_requests(self):
        """Return each request that the endpoints ran.

        Returns
        -------
        list of list
            Request id, organisation, Authorization and arrival time in seconds.
        """
        return [
            request
            for endpoint in self.endpoints
            for request in call("GET", f"http://{endpoint}/standin/requests")
        ]

    def run_cli(self, node, *arguments):
        """Run the command-line client against a node; return the finished process."""
        return subprocess.run(
            [str(BIN / "hingesill"), *map(str, arguments), f"--node={node.control}"],
            capture_output=True,
            text=True,
            timeout=30,
        )

    def forget(self, node):
        """Remove a node that has exited from the list."""
        self.nodes.pop(node.name, None)
        self.put_list()

    def close(self):
        """Terminate every process that was started here."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + 0.5
        for process in self.processes:
            try:
                process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(KILL_SECONDS)
            if process.stdout:
                process.stdout.close()
