"""The control of a node that follows the change log of hingesill itself."""

import sys

import eventlet

from hingesill_node.bridge import Bridge
from hingesill_node.clocks import read_boot_time
from hingesill_node.control.publisher import Publisher
from hingesill_node.control.thread import ControlThread
from hingesill_node.crashes.crashgossip import CrashGossip
from hingesill_node.datagramport import DatagramPort
from hingesill_node.datapath.announcements import Announcements
from hingesill_node.datapath.prober import Prober
from hingesill_node.explanation import Explainer
from hingesill_node.listeners import split_address
from hingesill_node.quotas.exchange import QuotaExchange
from hingesill_node.ratelimits.exchange import LimitExchange

__all__ = ["LogControl"]

MAX_PEER_SILENCE_SECONDS = 2.0


class LogControl:
    """The control thread and its connection to the hub; see `node.Control`.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    blackboard : Blackboard
        Written through the bridge.
    counters : Counters
        Counters of the node.
    """

    def __init__(self, settings, blackboard, counters, clock=read_boot_time):
        self.settings = settings
        self.blackboard = blackboard
        self.counters = counters
        self.clock = clock
        self.bridge = Bridge()
        self.announcements = Announcements(
            blackboard, settings.team, self._announce_drain, counters
        )
        self.explainer = Explainer(blackboard, None, self.bridge, clock)
        self.thread = ControlThread(
            settings,
            counters,
            Publisher(blackboard, self.bridge, settings.fleet_limit),
            lambda: blackboard.is_ready,
            self.explainer.request_explanation,
        )

    @property
    def address(self):
        """Address that operators and other nodes connect to."""
        return self.thread.address

    def _announce_drain(self, endpoint):
        self.thread.announce_drain(endpoint)

    def start(self, runners):
        """See `node.Control`."""
        sys.setswitchinterval(self.settings.switch_interval_s)
        self.explainer.runners = runners
        self.bridge.start()
        error = self.thread.start()
        if error:
            return error
        port = DatagramPort(self.counters)
        port.start(self.address)
        self.announcements.start(port, runners.record_suspicion)
        CrashGossip(runners.guard, self._list_peers, self.counters).start(port)
        LimitExchange(
            runners.limits, port, self._list_peers, runners, self.counters
        ).start(split_address(self.address))
        QuotaExchange(runners.quotas, port, self._list_others, self.counters).start(
            split_address(self.address)
        )
        eventlet.spawn(Prober(self.blackboard, runners, self.counters).run)
        return ""

    def _list_peers(self):
        return self.blackboard.peers

    def _list_others(self):
        return self.blackboard.listed

    def is_initialized(self):
        """See `node.Control`."""
        return self.thread.state.initialized

    def is_connected(self):
        """See `node.Control`."""
        state = self.thread.state
        others = len(state.membership.list_all()) > 1
        if state.is_store_available or not others:
            return True
        last = state.last_peer_at
        return last is not None and self.clock() - last < MAX_PEER_SILENCE_SECONDS

    def get_nodes(self):
        """See `node.Control`."""
        return self.blackboard.nodes

    def get_confirmed_age(self):
        """See `node.Control`."""
        return self.thread.state.get_confirmed_age_ms() / 1000

    def count_invalid(self):
        """See `node.Control`; documents are validated before they are written."""
        return 0

    def apply(self, settings):
        """See `node.Control`; flags and variables cannot change at run time."""
        return []

    def leave(self):
        """Do nothing: others see it by the list of VMs and by missing messages."""

    def stop(self):
        """See `node.Control`."""
        self.thread.stop()
