"""The binary ``hingesilld``: one node process."""

import gc
import os
import random
import signal
import sys

import eventlet
import fire

from hingesill_core.findings import Findings
from hingesill_core.routing.dispatcher import FleetView
from hingesill_node.admin import AdminApplication
from hingesill_node.blackboard import Blackboard
from hingesill_node.bridge import Bridge
from hingesill_node.control.publisher import Publisher
from hingesill_node.control.thread import ControlThread
from hingesill_node.datapath.announcements import Announcements
from hingesill_node.datapath.application import Application
from hingesill_node.datapath.prober import Prober
from hingesill_node.datapath.runner import RunnerTable
from hingesill_node.datapath.server import listen, start_server
from hingesill_node.explanation import Explainer
from hingesill_node.lifecycle import Lifecycle
from hingesill_node.settings import load_settings
from hingesill_node.telemetry.counters import Counters, start_metrics
from hingesill_node.telemetry.events import Event, log_event, start_logging

__all__ = ["Node", "run", "serve"]

EXIT_BAD_SETTINGS = 2
EXIT_NO_ADDRESS = 3
EXIT_STOP_BOUND = 4
GC_THRESHOLDS = (50_000, 50, 100)


class Node:
    """All parts of one node, wired together.

    Parameters
    ----------
    settings : Settings
        Validated.
    """

    def __init__(self, settings):
        self.settings = settings
        self.bridge = Bridge()
        self.counters = Counters()
        fleet = FleetView(settings.data_centre, 1, settings.fleet_limit)
        self.blackboard = Blackboard(fleet)
        self.announcements = Announcements(
            self.blackboard, settings.team, self._announce_drain, self.counters
        )
        self.runners = RunnerTable(self.blackboard, random.Random(), self.announcements)
        explainer = Explainer(self.blackboard, self.runners, self.bridge)
        publisher = Publisher(self.blackboard, self.bridge, settings.fleet_limit)
        self.control = ControlThread(
            settings,
            self.counters,
            publisher,
            lambda: self.blackboard.is_ready,
            explainer.ask,
        )
        self.lifecycle = Lifecycle(self.blackboard, settings, self.control)
        self.application = Application(
            self.blackboard, self.runners, self.counters, settings.max_body_bytes
        )

    def _announce_drain(self, endpoint):
        self.control.announce_drain(endpoint)

    def read_gauges(self):
        """Return the current values of the gauges."""
        age = self.control.state.get_confirmed_age_ms() / 1000
        return {
            "in_flight": self.blackboard.in_flight,
            "held": self.runners.count_held(),
            "revision": self.blackboard.configuration.revision,
            "confirmed_age_seconds": age,
        }

    def run(self):
        """Serve until a planned stop has ended; return the exit code."""
        sys.setswitchinterval(self.settings.switch_interval_s)
        listeners = self._listen()
        if isinstance(listeners, str):
            log_event(Event.PORT_UNAVAILABLE, error=listeners)
            return EXIT_NO_ADDRESS
        callers, admin = listeners
        self.bridge.start()
        error = self.control.start()
        if error:
            log_event(Event.PORT_UNAVAILABLE, error=error)
            return EXIT_NO_ADDRESS
        self.announcements.start(self.control.address, self.runners.note_suspicion)
        start_metrics(self.counters, self.read_gauges)
        start_server(callers, self.application)
        start_server(admin, AdminApplication(self.blackboard))
        eventlet.spawn(Prober(self.blackboard, self.runners, self.counters).run)
        signal.signal(signal.SIGTERM, self.lifecycle.ask_stop)
        signal.signal(signal.SIGINT, self.lifecycle.ask_stop)
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


def freeze_start_objects():
    """Keep the collector from walking through all modules again and again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def format_address(sock):
    """Return the address that a socket listens on."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def serve(**flags):
    """Run a node.

    Each setting is a flag; ``docs/SETTINGS.md`` lists them.
    """
    settings = load_settings(flags)
    if isinstance(settings, Findings):
        for finding in settings:
            print(f"hingesilld: {finding}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    start_logging(settings.name, settings.log_level)
    code = Node(settings).run()
    sys.stderr.flush()
    os._exit(code)


def run():
    """Entry point of the binary."""
    fire.Fire(serve)


if __name__ == "__main__":
    run()
