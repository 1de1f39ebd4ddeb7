"""Tests of the state of the control thread."""

import time
import unittest
from unittest.mock import patch

from hingesill_core.membership.vms import Membership, Vm
from hingesill_node.control.state import ControlState
from hingesill_node.telemetry.counters import Counters

SUSPENDED_SECONDS = 5.0


class SuspensionTests(unittest.TestCase):
    """The age of a confirmation counts the time in which the VM was suspended.

    The boot-time clock advances during a suspension; the monotonic clock does not.
    """

    def build_state(self):
        own = Vm("n1", "127.0.0.1:1", "a")
        return ControlState(Membership(own), Counters(), frozenset(), lambda: None)

    def test_confirmation_ages_during_a_suspension(self):
        state = self.build_state()
        state.confirm(state.clock())
        resumed_at = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_SECONDS
        with patch("time.clock_gettime", return_value=resumed_at):
            age = state.get_confirmed_age_ms() / 1000
        self.assertGreaterEqual(age, SUSPENDED_SECONDS)
