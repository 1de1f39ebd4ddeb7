"""Tests of the relay tree and of the membership."""

import unittest

from hingesill_core.membership.relaytree import (
    FAN_OUT,
    RELAYS_PER_DATA_CENTRE,
    find_position,
    list_relays,
)
from hingesill_core.membership.vms import UNREACHABLE_SECONDS, Membership, Vm, VmState


def build_vms(count, data_centres=2, partial=0):
    """Return VMs, of which the last `partial` ones hold only some services."""
    return [
        Vm(
            f"n{number}",
            f"10.0.{number // 250}.{number % 250}:1",
            f"dc-{number % data_centres}",
            holds_all=number < count - partial,
        )
        for number in range(count)
    ]


class TreeTests(unittest.TestCase):
    def check_tree(self, vms):
        """Check that each path ends at a relay; return the most children of a node."""
        positions = {vm.name: find_position(vm, vms) for vm in vms}
        by_name = {vm.name: vm for vm in vms}
        children = {}
        for name, position in positions.items():
            depth = 0
            while not positions[name].relay:
                parent = positions[name].parents[0]
                if depth == 0:
                    children.setdefault(parent.name, []).append(name)
                self.assertTrue(by_name[parent.name].holds_all)
                name = parent.name
                depth += 1
                self.assertLess(depth, 10)
        return max(map(len, children.values()))

    def test_every_node_is_below_a_relay(self):
        for count in (1, 2, 5, 18, 300):
            with self.subTest(count=count):
                vms = build_vms(count)
                if count > 4:
                    self.assertLessEqual(self.check_tree(vms), FAN_OUT)

    def test_nodes_with_some_services_are_leaves(self):
        vms = build_vms(400, partial=300)
        self.assertLessEqual(self.check_tree(vms), FAN_OUT)

    def test_number_of_relays_per_data_centre(self):
        relays = list_relays(build_vms(18, 4))
        self.assertEqual(len(relays), 4 * RELAYS_PER_DATA_CENTRE)

    def test_unlisted_node_has_a_position(self):
        vms = build_vms(18)
        position = find_position(Vm("new", "10.1.0.1:1", "dc-0"), vms)
        self.assertTrue(position.relay or position.parents)

    def test_loss_of_a_node_changes_few_relays(self):
        vms = build_vms(200)
        before = {vm.name: find_position(vm, vms).relay for vm in vms}
        remaining = vms[1:]
        changed = sum(
            find_position(vm, remaining).relay != before[vm.name] for vm in remaining
        )
        self.assertLessEqual(changed, 1)


class MembershipTests(unittest.TestCase):
    def setUp(self):
        self.vms = build_vms(4)
        self.membership = Membership(self.vms[0])
        self.membership.replace_vms(self.vms)

    def list_names(self, now):
        return {vm.name for vm in self.membership.list_usable(now)}

    def test_unreachable_node_is_excluded_for_a_while(self):
        self.membership.mark_unreachable("n1", 100.0)
        self.assertNotIn("n1", self.list_names(100.0))
        self.assertIn("n1", self.list_names(100.0 + UNREACHABLE_SECONDS))

    def test_reachable_node_is_included_again(self):
        self.membership.mark_unreachable("n1", 100.0)
        self.membership.mark_reachable("n1")
        self.assertIn("n1", self.list_names(100.0))

    def test_leaving_node_is_excluded(self):
        leaving = Vm("n1", "10.0.0.1:1", "dc-1", VmState.LEAVING)
        self.membership.replace_vms([self.vms[0], leaving])
        self.assertEqual(self.list_names(0.0), {"n0"})

    def test_own_node_is_always_included(self):
        self.membership.replace_vms([])
        self.assertEqual(self.list_names(0.0), {"n0"})
