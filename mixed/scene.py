"""A scene of the platform's program in which each node has a build."""

import re
import signal
import time
import uuid
from urllib.parse import quote

from adapter.tests.crashingendpoints import CrashingEndpoints
from adapter.tests.platformscene import (
    Node,
    PlatformScene,
    call,
    read_events,
    wait_until,
)
from mixed.checks import require

__all__ = ["MixedScene", "WAIT_SECONDS"]

# Generous, as the machine may be busy.
WAIT_SECONDS = 20.0
STOP_SECONDS = 20.0
ENDPOINTS = 6
HOLD_BEGUN = 4010
LONG_SECONDS = 60.0
REFUSED = 503
# A counter or gauge of a node's metrics, with what it counts; see docs/METRICS.md.
METRIC = re.compile(r'hingesill_(\w+?)(?:_total)?\{.*?(?:subject="(\w*)")?\} (\S+)')
HEARD = ("limits heard", "gossip heard")
# What nodes of two builds that understand each other and the store never count.
NOT_UNDERSTOOD = (
    "limits invalid",
    "gossip invalid",
    "datagrams unknown",
    "invalid_entries ",
)


class BuildNode(Node):
    """A node of a build; see `Node` for the arguments after that."""

    def __init__(self, build, *arguments):
        self.use(build)
        super().__init__(*arguments)

    def use(self, build):
        """Let the next start run a build."""
        self.build = build
        self.platform = build.root / "platform"
        self.variables = build.build_environment()

    def wait_stopped(self):
        """Wait for the end of a planned stop; it must end with 0."""
        code = self.process.wait(STOP_SECONDS)
        require(code == 0, f"the planned stop of {self.name} ended with {code}")

    def list_holds(self):
        """Return the source of each long hold of this node, by its fingerprint."""
        return {
            event["fingerprint"]: event["source"]
            for event in read_events(self, HOLD_BEGUN)
            if event["seconds"] > LONG_SECONDS
        }

    def read_metrics(self):
        """Return the values of the node's counters and gauges, by name and subject."""
        text = call(self.ready, "GET", "/metrics")[1].decode()
        found = (METRIC.match(line) for line in text.splitlines())
        return {f"{m[1]} {m[2] or ''}": float(m[3]) for m in found if m}

    def send(self, path):
        """Send a read; return its status."""
        headers = {"Host": "a.example", "X-Attempt-Id": uuid.uuid4().hex}
        headers["X-Deadline-Ms"] = "800"
        return call(self.front, "GET", path, None, headers)[0]


class MixedScene(PlatformScene):
    """A PlatformScene of which each node has a build and endpoints come back.

    Parameters
    ----------
    folder : Path
        Is made.
    builds : list of Build
        One a node.
    """

    crashing = None

    def __init__(self, folder, builds):
        self.builds = builds
        folder.mkdir()
        super().__init__(folder, len(builds), ENDPOINTS)
        self.crashing = CrashingEndpoints(self)

    def close(self):
        """End everything that was started here."""
        if self.crashing is not None:
            self.crashing.stop()
        super().close()

    def make_node(self, number):
        """Start the node of a number and return it."""
        return BuildNode(self.builds[number], self.folder, self.store, number)

    def list_nodes(self, build):
        """Return the nodes of a build."""
        return [node for node in self.nodes if node.build == build]

    def has_item(self, key):
        """Tell whether the store holds a key."""
        return call(self.store, "GET", f"/api/kv-key?key={quote(key)}")[0] == 200

    def wait_in_force(self, version):
        """Wait until all nodes serve a version of the configuration."""
        for node in self.nodes:
            what = f"version {version} at {node.name} ({node.build.name})"
            wait_until(lambda: node.knows(version), WAIT_SECONDS, what)

    def require_refused(self, nodes, path):
        """Send a request to nodes: all must refuse it, and no endpoint may end."""
        ended = len(self.crashing.ended_at)
        statuses = [node.send(path) for node in nodes]
        require(statuses == [REFUSED] * len(nodes), f"statuses {statuses}")
        time.sleep(1.0)
        later = len(self.crashing.ended_at) - ended
        require(not later, f"{later} more endpoints ended")

    def require_understood(self):
        """Require that no node counts news or entries that it cannot read.

        Returns
        -------
        list of int
            Datagrams on limits and on requests that end endpoints, of all nodes.
        """
        metrics = [node.read_metrics() for node in self.nodes]
        for node, values in zip(self.nodes, metrics):
            require("invalid_entries " in values, f"{node.name} shows no metrics")
            for name in NOT_UNDERSTOOD:
                count = values.get(name, 0)
                require(not count, f"{node.name} ({node.build.name}): {name} {count}")
        return [round(sum(v.get(name, 0) for v in metrics)) for name in HEARD]

    def wait_stored(self, fingerprints):
        """Wait until the store holds the holds of fingerprints."""
        for name in fingerprints:
            key = f"hingesill/held/{name}"
            wait_until(lambda: self.has_item(key), WAIT_SECONDS, key)

    def hold_back(self, senders, path):
        """Send a request that ends endpoints until nodes hold it back for long.

        Returns
        -------
        set of str
            The fingerprints under which one of the senders now holds it back.
        """
        known = list_all_holds(senders)
        until = time.monotonic() + 2 * WAIT_SECONDS
        while list_all_holds(senders) <= known:
            require(time.monotonic() < until, f"{path} is not held back for long")
            for node in senders:
                node.send(path)
                time.sleep(0.2)
        return list_all_holds(senders) - known

    def replace(self, build):
        """Stop all nodes in their planned way, then start them with a build."""
        for node in self.nodes:
            node.process.send_signal(signal.SIGTERM)
        for node in self.nodes:
            node.wait_stopped()
        for node in self.nodes:
            node.use(build)
            node.start()
        for node in self.nodes:
            what = f"readiness of {node.name} ({build.name})"
            wait_until(node.is_ready, WAIT_SECONDS, what)


def list_all_holds(nodes):
    """Return the fingerprints of the long holds of any of the nodes."""
    return {fingerprint for node in nodes for fingerprint in node.list_holds()}
