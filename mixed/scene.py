"""A scene of the platform program whose nodes run different builds."""

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

# Generous time-outs, as the machine may be busy.
WAIT_SECONDS = 20.0
STOP_SECONDS = 20.0
ENDPOINTS = 6
QUARANTINE_STARTED = 4010
MAX_PROVISIONAL_SECONDS = 60.0
REFUSED = 503
# A counter or gauge of a node with its subject; see docs/METRICS.md.
METRIC = re.compile(r'hingesill_(\w+?)(?:_total)?\{.*?(?:subject="(\w*)")?\} (\S+)')
RECEIVED = ("limits heard", "gossip heard")
# Metrics that stay zero while both builds decode each other's data and the store's.
DECODING_FAILURES = (
    "limits invalid",
    "gossip invalid",
    "datagrams unknown",
    "invalid_entries ",
)


class BuildNode(Node):
    """A node that runs a build; the other arguments are those of `Node`."""

    def __init__(self, build, *arguments):
        self.use(build)
        super().__init__(*arguments)

    def use(self, build):
        """Set the build that the next start runs."""
        self.build = build
        self.platform = build.root / "platform"
        self.variables = build.build_environment()

    def wait_stopped(self):
        """Wait until a planned stop has finished; the exit status must be 0."""
        code = self.process.wait(STOP_SECONDS)
        require(code == 0, f"the planned stop of {self.name} exited with status {code}")

    def list_quarantines(self):
        """Return the source of each confirmed quarantine by its fingerprint."""
        return {
            event["fingerprint"]: event["source"]
            for event in read_events(self, QUARANTINE_STARTED)
            if event["seconds"] > MAX_PROVISIONAL_SECONDS
        }

    def read_metrics(self):
        """Return the values of the node's counters and gauges, by name and subject."""
        text = call(self.ready, "GET", "/metrics")[1].decode()
        found = (METRIC.match(line) for line in text.splitlines())
        return {f"{m[1]} {m[2] or ''}": float(m[3]) for m in found if m}

    def send(self, path):
        """Send a read; return the status of the response."""
        headers = {"Host": "a.example", "X-Attempt-Id": uuid.uuid4().hex}
        headers["X-Deadline-Ms"] = "800"
        return call(self.front, "GET", path, None, headers)[0]


class MixedScene(PlatformScene):
    """A PlatformScene whose nodes run given builds and whose endpoints restart.

    Parameters
    ----------
    folder : Path
        Folder to create.
    builds : list of Build
        Build of each node.
    """

    crashing = None

    def __init__(self, folder, builds):
        self.builds = builds
        folder.mkdir()
        super().__init__(folder, len(builds), ENDPOINTS)
        self.crashing = CrashingEndpoints(self)

    def close(self):
        """Stop everything that was started here."""
        if self.crashing is not None:
            self.crashing.stop()
        super().close()

    def make_node(self, number):
        """Start the node with a number and return it."""
        return BuildNode(self.builds[number], self.folder, self.store, number)

    def list_nodes(self, build):
        """Return the nodes that run a build."""
        return [node for node in self.nodes if node.build == build]

    def has_item(self, key):
        """Return whether the store has a key."""
        return call(self.store, "GET", f"/api/kv-key?key={quote(key)}")[0] == 200

    def wait_in_force(self, version):
        """Wait until all nodes serve a version of the configuration."""
        for node in self.nodes:
            what = f"version {version} at {node.name} ({node.build.name})"
            wait_until(lambda: node.knows(version), WAIT_SECONDS, what)

    def require_refused(self, nodes, path):
        """Send a request to nodes; all must refuse it, and no endpoint may crash."""
        ended = len(self.crashing.ended_at)
        statuses = [node.send(path) for node in nodes]
        require(statuses == [REFUSED] * len(nodes), f"statuses {statuses}")
        time.sleep(1.0)
        later = len(self.crashing.ended_at) - ended
        require(not later, f"{later} more endpoints crashed")

    def require_decoded(self):
        """Require that no node counts datagrams or entries that it can't decode.

        Returns
        -------
        list of int
            Datagrams on limits and on endpoint crashes received by all nodes.
        """
        metrics = [node.read_metrics() for node in self.nodes]
        for node, values in zip(self.nodes, metrics):
            require(
                "invalid_entries " in values,
                f"{node.name} reports no metrics",
            )
            for name in DECODING_FAILURES:
                count = values.get(name, 0)
                require(not count, f"{node.name} ({node.build.name}): {name} {count}")
        return [round(sum(v.get(name, 0) for v in metrics)) for name in RECEIVED]

    def wait_stored(self, fingerprints):
        """Wait until the store has the quarantines of fingerprints."""
        for name in fingerprints:
            key = f"hingesill/held/{name}"
            wait_until(lambda: self.has_item(key), WAIT_SECONDS, key)

    def quarantine(self, senders, path):
        """Send a request that crashes endpoints until its quarantine is confirmed.

        Returns
        -------
        set of str
            Fingerprints of the request's new quarantines at any of the senders.
        """
        known = list_all_quarantines(senders)
        until = time.monotonic() + 2 * WAIT_SECONDS
        while list_all_quarantines(senders) <= known:
            require(
                time.monotonic() < until, f"{path} is not under a confirmed quarantine"
            )
            for node in senders:
                node.send(path)
                time.sleep(0.2)
        return list_all_quarantines(senders) - known

    def replace(self, build):
        """Stop all nodes gracefully, then start them with a build."""
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


def list_all_quarantines(nodes):
    """Return the fingerprints of the confirmed quarantines of any of the nodes."""
    return {fingerprint for node in nodes for fingerprint in node.list_quarantines()}
