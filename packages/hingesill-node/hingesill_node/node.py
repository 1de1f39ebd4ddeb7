"""A node process: the data path between a control and its life cycle."""

import gc
import random
import signal
import sys
import time
from typing import Protocol

import eventlet

from hingesill_core.routing.fleetview import FleetView
from hingesill_node.admin import AdminApplication
from hingesill_node.blackboard import Blackboard
from hingesill_node.datapath.application import Application
from hingesill_node.datapath.runnertable import RunnerTable
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.datapath.wire import OwnFormat
from hingesill_node.lifecycle import Lifecycle
from hingesill_node.reload import Reloader
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
# The store answers in milliseconds. If it does not, callers are told so, before the
# second is over in which they expect their request to be read.
FIRST_READ_SECONDS = 0.4
FIRST_READ_PAUSE = 0.005
GC_THRESHOLDS = (50_000, 50, 100)


class Control(Protocol):
    """Where a node's configuration and endpoints come from."""

    announcements: object
    address: str

    def start(self, runners):
        """Begin to work; return what is wrong, or an empty text."""

    def is_initialized(self):
        """Tell whether what is known suffices to serve."""

    def is_connected(self):
        """Tell whether the store or another node answers."""

    def get_confirmed_age(self):
        """Return the seconds since what is known was last confirmed."""

    def count_invalid(self):
        """Return the store's entries that cannot be read, as this node read it."""

    def apply(self, settings):
        """Put changed settings in force; return the names of these."""

    def leave(self):
        """Tell others that a planned stop has begun."""

    def stop(self):
        """End all work."""


class Node:
    """All parts of one node, wired together.

    Parameters
    ----------
    settings : Settings
        Validated.
    build_control : callable
        Returns the Control for settings, blackboard and counters.
    wire : OwnFormat or None
        The dialect; hingesill's own if None.
    load : callable or None
        Reads the settings again; None if they cannot change.
    clock : callable
        Seconds, by which requests' times pass and connections rest.
    """

    def __init__(
        self, settings, build_control, wire=None, load=None, clock=time.monotonic
    ):
        self.settings = settings
        self.load = load or (lambda: settings)
        self.counters = Counters()
        fleet = FleetView(settings.data_centre, 1, settings.fleet_limit)
        self.blackboard = Blackboard(fleet)
        self.control = build_control(settings, self.blackboard, self.counters)
        self.runners = RunnerTable(
            self.blackboard, random.Random(), self.control.announcements, clock
        )
        self.runners.enable_load_queries(wire or OwnFormat(), self.counters)
        self.lifecycle = Lifecycle(self.blackboard, settings, self.control)
        self.application = Application(
            self.blackboard,
            self.runners,
            self.counters,
            settings.max_body_bytes,
            wire,
            clock,
        )

    def read_gauges(self):
        """Return the current values of the gauges."""
        availabilities = self.runners.availabilities
        now = self.runners.clock()
        return {
            "in_flight": self.blackboard.in_flight,
            "held": self.runners.count_queued(),
            "limited_endpoints": self.runners.limits.count_limited(),
            "resting_endpoints": availabilities.count_backing_off(now),
            "leaving_endpoints": availabilities.count_leaving(now),
            "quarantined": len(self.runners.guard.decisions.quarantine),
            "revision": self.blackboard.configuration.revision,
            "invalid_entries": self.control.count_invalid(),
            "confirmed_age_seconds": self.control.get_confirmed_age(),
        }

    def run(self):
        """Serve until a planned stop has ended; return the exit code."""
        listeners = self._listen()
        if isinstance(listeners, str):
            return refuse_address(listeners)
        callers, admin = listeners
        error = self.control.start(self.runners)
        if error:
            return refuse_address(error)
        start_server(admin, self._build_admin())
        signal.signal(signal.SIGTERM, self.lifecycle.ask_stop)
        signal.signal(signal.SIGINT, self.lifecycle.ask_stop)
        reloader = Reloader(self.settings, self.load, self.control.apply)
        signal.signal(signal.SIGHUP, reloader.ask)
        eventlet.spawn(reloader.run)
        self._wait_for_configuration()
        start_server(callers, self.application)
        freeze_start_objects()
        log_event(
            Event.NODE_STARTED,
            address=format_address(callers),
            control=self.control.address,
            admin=format_address(admin),
        )
        self.lifecycle.run_until_stop()
        clean = self.lifecycle.stop(callers)
        self.control.stop()
        return 0 if clean else EXIT_STOP_BOUND

    def _wait_for_configuration(self, clock=time.monotonic):
        """Leave callers in the accept queue until their requests can be served."""
        until = clock() + FIRST_READ_SECONDS
        while not self.control.is_initialized() and clock() < until:
            eventlet.sleep(FIRST_READ_PAUSE)

    def _build_admin(self):
        return AdminApplication(
            self.blackboard, self.counters, self.read_gauges, self.settings.ready_path
        )

    def _listen(self):
        """Return the two listening sockets, or what is wrong."""
        try:
            callers = listen(self.settings.address, self.settings.reuse_port)
        except OSError as error:
            return f"address {self.settings.address}: {error.strerror}"
        try:
            return callers, listen(self.settings.admin_address, False)
        except OSError as error:
            return f"admin_address {self.settings.admin_address}: {error.strerror}"


def refuse_address(error):
    """Tell operator and log why the node does not start; return the exit code."""
    log_event(Event.PORT_UNAVAILABLE, error=error)
    print(f"hingesilld: {error}", file=sys.stderr)
    return EXIT_NO_ADDRESS


def freeze_start_objects():
    """Keep the collector from walking through all modules again and again.

    Notes
    -----
    What loading left behind is kept too: a search for it would stop the node in the
    first second in which callers are served.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


def format_address(sock):
    """Return the address that a socket listens on."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
