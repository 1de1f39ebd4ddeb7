"""A node process: wires the data path, the control and the life cycle."""

import gc
import random
import signal
import sys
import time
from typing import Protocol

import eventlet

from hingesill_core.quotas.decision import QuotaTolerance
from hingesill_core.routing.fleetview import FleetView
from hingesill_node.admin import AdminApplication
from hingesill_node.blackboard import Blackboard
from hingesill_node.datapath.application import Application
from hingesill_node.datapath.forwardentry import ForwardEntry
from hingesill_node.datapath.forwarding import Forwarder
from hingesill_node.datapath.requestmemory import RequestMemory
from hingesill_node.datapath.runnertable import RunnerTable
from hingesill_node.datapath.server import FORWARDED, listen, start_server
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.lifecycle import Lifecycle
from hingesill_node.organisations import build_figures
from hingesill_node.reload import Reloader
from hingesill_node.resources import (
    compute_control_bytes,
    compute_limits,
    compute_request_bytes,
)
from hingesill_node.telemetry.counters import Counters
from hingesill_node.telemetry.events import Event, log_event

__all__ = [
    "EXIT_NO_ADDRESS",
    "EXIT_STOP_BOUND",
    "Control",
    "Node",
    "freeze_start_objects",
]

EXIT_NO_ADDRESS = 3
EXIT_STOP_BOUND = 4
# The store usually answers within milliseconds. If it does not, the node starts to
# refuse requests, so that callers get an answer within the second in which they expect
# their request to be read.
FIRST_READ_TIMEOUT_SECONDS = 0.4
FIRST_READ_POLL_SECONDS = 0.005
GC_THRESHOLDS = (50_000, 50, 100)


class Control(Protocol):
    """Source of a node's configuration and endpoints."""

    announcements: object
    address: str

    def start(self, runners):
        """Start; return an error message, or an empty string."""

    def is_initialized(self):
        """Return whether enough is known to serve requests."""

    def is_connected(self):
        """Return whether the store or another node answers."""

    def get_nodes(self):
        """Return the NodeRecord of each registered node by name."""

    def get_confirmed_age(self):
        """Return the seconds since the current view was last confirmed."""

    def count_invalid(self):
        """Return the number of invalid entries that this node found in the store."""

    def apply(self, settings):
        """Apply changed settings; return the names of those now in force."""

    def leave(self):
        """Announce a planned stop to other nodes."""

    def stop(self):
        """Stop all activity."""


class Node:
    """All parts of one node, wired together.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    build_control : callable
        Returns the Control for settings, blackboard and counters.
    wire : OwnFormat or None
        The wire format; that of hingesill if None.
    load : callable or None
        Reads the settings again; None if they cannot change.
    clock : callable
        Seconds, for the deadlines of requests and the idle times of connections.

    Attributes
    ----------
    read_figures : callable
        Returns `OrganisationFigures` by organisation, for the admin address.
    """

    def __init__(
        self, settings, build_control, wire=None, load=None, clock=time.monotonic
    ):
        self.settings = settings
        self.load = load or (lambda: settings)
        self.counters = Counters()
        self.read_figures = self._read_figures
        fleet = FleetView(settings.data_centre, 1, settings.fleet_limit)
        self.blackboard = Blackboard(fleet)
        self.control = build_control(settings, self.blackboard, self.counters)
        self.runners = RunnerTable(
            self.blackboard,
            random.Random(),
            self.control.announcements,
            clock,
            QuotaTolerance(
                settings.quota_window_s, settings.quota_overshoot, settings.quota_slack
            ),
        )
        self.runners.enable_load_queries(wire or OwnFormat(), self.counters)
        self.wire = wire or OwnFormat()
        self._forward_servers = []
        self.limits = compute_limits(settings)
        self.memory = RequestMemory(compute_request_bytes(settings))
        self.lifecycle = Lifecycle(self.blackboard, settings, self.control)
        self.application = Application(
            self.blackboard,
            self.runners,
            self.counters,
            settings.max_body_bytes,
            wire,
            clock,
        )

    def _read_figures(self):
        """Return the OrganisationFigures of the organisations with a quota in use."""
        usage = self.runners.quotas.quotas.usage
        return {name: build_figures(item) for name, item in usage.items()}

    def read_gauges(self):
        """Return the current values of the gauges."""
        availabilities = self.runners.availabilities
        now = self.runners.clock()
        return {
            "in_flight": self.blackboard.in_flight,
            "request_bytes": self.memory.used,
            "held": self.runners.count_queued(),
            "limited_endpoints": self.runners.limits.count_limited(),
            "resting_endpoints": availabilities.count_backing_off(now),
            "leaving_endpoints": availabilities.count_leaving(now),
            "over_quota": self.runners.quotas.count_over(),
            "quota_waiting": self.runners.quotas.count_waiting(),
            "unreachable_services": self.runners.count_unreachable(),
            "quarantined": len(self.runners.guard.decisions.quarantine),
            "revision": self.blackboard.configuration.revision,
            "invalid_entries": self.control.count_invalid(),
            "confirmed_age_seconds": self.control.get_confirmed_age(),
        }

    def run(self):
        """Serve until a planned stop is complete; return the exit code."""
        listeners = self._listen()
        if isinstance(listeners, str):
            return report_bind_error(listeners)
        callers, admin = listeners
        error = self._start_forwarding() or self.control.start(self.runners)
        if error:
            return report_bind_error(error)
        # Callers that use up the memory of requests do not end the readiness checks.
        memory = RequestMemory(compute_control_bytes(self.settings))
        self._serve(admin, self._build_admin(), "admin", memory)
        signal.signal(signal.SIGTERM, self.lifecycle.request_stop)
        signal.signal(signal.SIGINT, self.lifecycle.request_stop)
        reloader = Reloader(self.settings, self.load, self.control.apply)
        signal.signal(signal.SIGHUP, reloader.request_reload)
        eventlet.spawn(reloader.run)
        self._wait_for_configuration()
        server = self._serve(callers, self.application, "callers", self.memory)
        freeze_start_objects()
        log_event(
            Event.NODE_STARTED,
            address=format_address(callers),
            control=self.control.address,
            admin=format_address(admin),
        )
        self.lifecycle.run_until_stop()
        is_clean = self.lifecycle.stop(server, *self._forward_servers)
        self.control.stop()
        return 0 if is_clean else EXIT_STOP_BOUND

    def _serve(self, sock, application, listener, memory):
        """Serve an application on a listening socket; return the CallerServer."""
        limits = self.limits[listener]
        return start_server(sock, application, listener, self.counters, limits, memory)

    def _start_forwarding(self):
        """Accept forwarded requests, and forward own ones; return an error message."""
        if not self.settings.forward_port:
            return ""
        address = f"{split_host(self.control.address)}:{self.settings.forward_port}"
        try:
            listener = self._listen_on(address)
        except OSError as error:
            return f"forward_port {address}: {error.strerror}"
        forwarder = self.runners.forwarder = Forwarder(
            self.settings.vm or self.settings.name,
            self.settings.data_centre,
            self.control.get_nodes,
            self.counters,
            self.wire,
            self.runners.clock,
        )
        entry = ForwardEntry(self.application, forwarder.peers.is_member)
        server = self._serve(listener, entry, FORWARDED, self.memory)
        self._forward_servers.append(server)
        return ""

    def _wait_for_configuration(self, clock=time.monotonic):
        """Keep callers in the accept queue until their requests can be served."""
        deadline = clock() + FIRST_READ_TIMEOUT_SECONDS
        while not self.control.is_initialized() and clock() < deadline:
            eventlet.sleep(FIRST_READ_POLL_SECONDS)

    def _build_admin(self):
        return AdminApplication(
            self.blackboard,
            self.counters,
            self.read_gauges,
            self.settings.ready_path,
            lambda: self.read_figures(),
        )

    def _listen_on(self, address, reuse_port=False):
        """Return a listening socket; see `listen`."""
        return listen(address, reuse_port, self.settings.receive_buffer_bytes)

    def _listen(self):
        """Return the two listening sockets, or an error message."""
        try:
            callers = self._listen_on(self.settings.address, self.settings.reuse_port)
        except OSError as error:
            return f"address {self.settings.address}: {error.strerror}"
        try:
            return callers, self._listen_on(self.settings.admin_address)
        except OSError as error:
            return f"admin_address {self.settings.admin_address}: {error.strerror}"


def report_bind_error(error):
    """Log and print why the node does not start; return the exit code."""
    log_event(Event.PORT_UNAVAILABLE, error=error)
    print(f"hingesilld: {error}", file=sys.stderr)
    return EXIT_NO_ADDRESS


def freeze_start_objects():
    """Exclude the objects of the loaded modules from garbage collection.

    Notes
    -----
    Garbage left by loading is not collected first: a full collection would pause the
    node in the first second in which it serves callers.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


def split_host(address):
    """Return the host of an address with a port."""
    return address.rpartition(":")[0]


def format_address(sock):
    """Return the address that a socket listens on."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
