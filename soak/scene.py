"""The processes of a soak: nodes and endpoints, with proxies between them."""

import signal
import time
from pathlib import Path

import yaml

from demo.load import Caller
from soak.incompletecaller import IncompleteCaller
from soak.organisations import (
    GREEDY,
    KEYS,
    LEAVING,
    MODEST,
    NO_KEY,
    STEADY,
    UNKNOWN,
    build_documents,
)
from soak.pipelining import IdleConnections, PipeliningCaller
from soak.proxy import Proxy
from standins.fleet import EXAMPLES, Fleet

__all__ = ["Scene"]

REQUESTS = [
    ("GET", "/arena/boards/7", True),
    ("POST", "/ledger/moves", False),
    ("GET", "/arena/clocks/7", True),
]
SERVICES = ("arena", "ledger")
ENDPOINTS_PER_SERVICE = 3
# A high share of retries, so that violated retry rules are detected.
SEND_POLICY = {"hedge_share": 0.1, "retry_share": 0.5}
NODES = 3
# Key and pause in seconds of each caller. One organisation sends several times its
# quota, another one less than a tenth.
CALLERS = [(KEYS[STEADY], 0.02)] * 4 + [(KEYS[GREEDY], 0.02)] * 2
CALLERS += [(KEYS[MODEST], 0.1), (KEYS[LEAVING], 0.1), (UNKNOWN, 0.1), (NO_KEY, 0.1)]
STOP_SECONDS = 15.0
PIPELINING_CALLERS = 8
IDLE_CONNECTIONS = 150
READ = (
    "GET /arena/boards/7 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
    "Hingesill-Request-Id: {id}\r\n\r\n"
)
MOVE = READ.replace("GET /arena/boards/7", "POST /ledger/moves").replace(
    "\r\n\r\n", "\r\nContent-Length: 4\r\n\r\ne2e4"
)


class Scene:
    """A fleet whose nodes reach the store and the endpoints through proxies.

    Parameters
    ----------
    folder : Path
        Folder of files and logs.
    seed : int
        Seed of the proxies' random choices.
    mutation : str
        Rule that the nodes violate, to test that the checkers detect it.
    can_suspend : bool
        Whether the nodes' monotonic clocks can exclude time.
    """

    def __init__(self, folder, seed, mutation="", can_suspend=False):
        self.fleet = Fleet(Path(folder))
        self.seed = seed
        self.mutation = mutation
        self.can_suspend = can_suspend
        # Only nodes that refuse early promise fair shares; the others queue.
        self.overload = "refuse-early" if seed % 2 else "queue"
        self.usable = []
        self.leaving = set()
        self.unplanned = []
        self.exit_codes = []
        self.endpoint_proxies = []
        self.callers = []
        self.incomplete_caller = None
        self.pipelining_callers = []
        self.idle_connections = []
        self._number = 0

    def start(self):
        """Start all processes and apply the declarations."""
        self.fleet.start_platform()
        store = self.fleet.store.removeprefix("http://")
        self.store_proxy = Proxy(store, self.seed)
        self.store_url = self.fleet.store
        files = self._write_declarations()
        for _ in range(NODES):
            self.add_node()
        first = next(iter(self.fleet.nodes.values()))
        applied = self.fleet.run_cli(first, "apply", "-f", files)
        if applied.returncode:
            raise RuntimeError(applied.stdout + applied.stderr)
        waited = self.fleet.run_cli(first, "status", "--wait=10")
        if waited.returncode:
            raise RuntimeError(waited.stdout + waited.stderr)
        self.callers = [
            Caller(lambda: self.usable, REQUESTS, pause, key=key).start()
            for key, pause in CALLERS
        ]
        self.incomplete_caller = IncompleteCaller(
            lambda: self.usable, KEYS[STEADY], self.seed
        ).start()
        self.pipelining_callers = [
            PipeliningCaller(
                lambda: self.usable, build_read, f"{number} of {self.seed}"
            )
            for number in range(PIPELINING_CALLERS)
        ]
        for caller in self.pipelining_callers:
            caller.start()

    def open_idle_connections(self, node, rng):
        """Return connections to a node that have been used once."""
        connections = IdleConnections(node.address, build_move, rng, IDLE_CONNECTIONS)
        self.idle_connections.append(connections)
        return connections

    def list_sent(self):
        """Return the requests that were pipelined or sent on idle connections."""
        callers = [*self.pipelining_callers, *self.idle_connections]
        return [sent for caller in callers for sent in caller.sent]

    def _write_declarations(self):
        folder = self.fleet.folder / "declarations"
        folder.mkdir()
        for service in SERVICES:
            file = EXAMPLES / "zugzwang" / f"{service}.yaml"
            content = yaml.safe_load(file.read_text())
            content["endpoints"] = [
                {"address": address, "data_centre": "lsn-a"}
                for address in self._start_endpoints()
            ]
            content["sends"] = SEND_POLICY
            content["overload"] = self.overload
            (folder / file.name).write_text(yaml.safe_dump(content))
        (folder / "organisations.yaml").write_text(
            yaml.safe_dump_all(build_documents())
        )
        return folder

    def remove_organisation(self, name):
        """Remove an organisation; return whether all nodes confirmed it in time."""
        node = next(iter(self.fleet.nodes.values()))
        removed = self.fleet.run_cli(node, "remove", f"organisation:{name}")
        waited = self.fleet.run_cli(node, "status", "--wait=10")
        return removed.returncode == 0 and waited.returncode == 0

    def _start_endpoints(self):
        """Start endpoints; return the addresses of the proxies in front of them."""
        addresses = []
        for address in self.fleet.start_endpoints(ENDPOINTS_PER_SERVICE):
            proxy = Proxy(address, f"{self.seed} {len(self.endpoint_proxies)}")
            self.endpoint_proxies.append(proxy)
            addresses.append(proxy.address)
        return addresses

    def add_node(self):
        """Start a node that connects to the store through the proxy."""
        self._number += 1
        store = f"http://{self.store_proxy.address}"
        node = self.fleet.start_node(
            f"n{self._number}",
            store=store,
            mutation=self.mutation,
            can_suspend=self.can_suspend,
            can_cut=True,
        )
        self.usable.append(node.address)

    def choose_healthy_node(self, rng):
        """Return a node for a fault; None unless all nodes are healthy."""
        healthy = [
            node
            for node in self.fleet.nodes.values()
            if node.address in self.usable and node.name not in self.leaving
        ]
        return rng.choice(healthy) if len(healthy) == NODES else None

    def record_unplanned(self, node):
        """Record the time from which a node's connections are cut."""
        self.unplanned.append((node.address, time.monotonic()))
        self.stop_using(node)

    def stop_using(self, node):
        """Remove a node from the nodes that callers use."""
        if node.address in self.usable:
            self.usable.remove(node.address)

    def replace(self, node):
        """Start a replacement of a node that has exited."""
        self.fleet.forget(node)
        self.add_node()

    def finish_stop(self, node):
        """Wait until a planned stop has finished, and start a replacement.

        Notes
        -----
        The node is resumed first, as a node that is paused can't exit.
        """
        node.process.send_signal(signal.SIGCONT)
        self.exit_codes.append(node.process.wait(STOP_SECONDS))
        self.replace(node)

    def stop_pipelining_callers(self):
        """Stop the callers that pipeline; further calls do nothing."""
        for caller in self.pipelining_callers:
            caller.request_stop()
        for caller in self.pipelining_callers:
            caller.stop()

    def stop_callers(self):
        """Stop all callers; further calls do nothing."""
        for caller in self.callers:
            caller.stop()
        self.stop_pipelining_callers()
        if self.incomplete_caller is not None:
            self.incomplete_caller.stop()

    def close(self):
        """Stop callers, proxies and processes."""
        self.stop_callers()
        for proxy in (self.store_proxy, *self.endpoint_proxies):
            proxy.close()
        self.fleet.close()


def build_read(request_id):
    """Return the bytes of a repeatable request."""
    return READ.format(id=request_id, key=KEYS[STEADY]).encode()


def build_move(request_id):
    """Return the bytes of a request that must not be repeated."""
    return MOVE.format(id=request_id, key=KEYS[STEADY]).encode()
