"""Tests of what the control thread knows."""

import time
import unittest
from unittest.mock import patch

from hingesill_core.membership.vms import Membership, Vm
from hingesill_node.control.state import ControlState
from hingesill_node.telemetry.counters import Counters

SUSPENDED_SECONDS = 5.0


class SuspensionTests(unittest.TestCase):
    """The boot's clock goes on while the VM is suspended, the steady one does not."""

    def build_state(self):
        own = Vm("n1", "127.0.0.1:1", "a")
        return ControlState(Membership(own), Counters(), frozenset(), lambda: None)

    def test_what_was_confirmed_before_is_old_afterwards(self):
        state = self.build_state()
        state.confirm(state.clock())
        woken_at = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_SECONDS
        with patch("time.clock_gettime", return_value=woken_at):
            age = state.get_confirmed_age_ms() / 1000
        self.assertGreaterEqual(age, SUSPENDED_SECONDS)
