"""Tests of the tree by which changes spread."""

import unittest

from hingesill_core.membership.relaytree import (
    FAN_OUT,
    RELAYS_PER_DATA_CENTRE,
    find_position,
    list_relays,
)
from hingesill_core.membership.vms import SILENT_AFTER, Membership, Vm, VmState


def build(count, centres=2, partial=0):
    """Return VMs; the last ones hold only some services."""
    return [
        Vm(
            f"n{number}",
            f"10.0.{number // 250}.{number % 250}:1",
            f"dc-{number % centres}",
            holds_all=number < count - partial,
        )
        for number in range(count)
    ]


class TreeTests(unittest.TestCase):
    def check_tree(self, vms):
        """Check that every way leads to a relay and nobody has too many children."""
        places = {vm.name: find_position(vm, vms) for vm in vms}
        by_name = {vm.name: vm for vm in vms}
        children = {}
        for name, place in places.items():
            steps = 0
            while not places[name].relay:
                parent = places[name].parents[0]
                if steps == 0:
                    children.setdefault(parent.name, []).append(name)
                self.assertTrue(by_name[parent.name].holds_all)
                name = parent.name
                steps += 1
                self.assertLess(steps, 10)
        return max(map(len, children.values()))

    def test_every_node_hangs_below_a_relay(self):
        for count in (1, 2, 5, 18, 300):
            with self.subTest(count=count):
                vms = build(count)
                if count > 4:
                    self.assertLessEqual(self.check_tree(vms), FAN_OUT)

    def test_nodes_that_hold_some_services_are_leaves(self):
        vms = build(400, partial=300)
        self.assertLessEqual(self.check_tree(vms), FAN_OUT)

    def test_two_relays_a_data_centre(self):
        relays = list_relays(build(18, 4))
        self.assertEqual(len(relays), 4 * RELAYS_PER_DATA_CENTRE)

    def test_a_node_that_the_list_lacks_has_a_place(self):
        vms = build(18)
        place = find_position(Vm("new", "10.1.0.1:1", "dc-0"), vms)
        self.assertTrue(place.relay or place.parents)

    def test_loss_of_a_node_moves_few(self):
        vms = build(200)
        before = {vm.name: find_position(vm, vms).relay for vm in vms}
        left = vms[1:]
        moved = sum(find_position(vm, left).relay != before[vm.name] for vm in left)
        self.assertLessEqual(moved, 1)


class MembershipTests(unittest.TestCase):
    def setUp(self):
        self.vms = build(4)
        self.membership = Membership(self.vms[0])
        self.membership.replace_vms(self.vms)

    def list_names(self, now):
        return {vm.name for vm in self.membership.list_usable(now)}

    def test_silent_node_is_left_out_for_a_while(self):
        self.membership.mark_unreachable("n1", 100.0)
        self.assertNotIn("n1", self.list_names(100.0))
        self.assertIn("n1", self.list_names(100.0 + SILENT_AFTER))

    def test_heard_node_is_back(self):
        self.membership.mark_unreachable("n1", 100.0)
        self.membership.mark_reachable("n1")
        self.assertIn("n1", self.list_names(100.0))

    def test_leaving_node_is_left_out(self):
        leaving = Vm("n1", "10.0.0.1:1", "dc-1", VmState.LEAVING)
        self.membership.replace_vms([self.vms[0], leaving])
        self.assertEqual(self.list_names(0.0), {"n0"})

    def test_own_node_always_belongs(self):
        self.membership.replace_vms([])
        self.assertEqual(self.list_names(0.0), {"n0"})
