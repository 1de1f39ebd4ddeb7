"""The platform's list of VMs."""

import tempfile
import unittest

from hingesill_node.control.vmlist import parse_list, read_file

NODE = {
    "name": "n1",
    "role": "node",
    "address": "10.0.0.1:8081",
    "data_centre": "a",
    "state": "live",
}


class ForwardPortTests(unittest.TestCase):
    def test_a_node_without_a_port_accepts_no_forwarded_requests(self):
        (vm,), _ = parse_list([NODE])
        self.assertEqual(vm.forward_port, 0)

    def test_a_node_with_a_port(self):
        (vm,), _ = parse_list([{**NODE, "forward_port": 8083}])
        self.assertEqual(vm.forward_port, 8083)

    def test_what_is_no_port_makes_the_list_invalid(self):
        for port in (-1, 65536, "8083", 1.5, True, None):
            with self.subTest(port), self.assertRaisesRegex(ValueError, "forward_port"):
                parse_list([{**NODE, "forward_port": port}])


class NestedListTests(unittest.TestCase):
    """Guards against a list nested so deeply that its reader ends."""

    def test_a_nested_list_is_invalid(self):
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("[" * 60_000)
            file.flush()
            with self.assertRaisesRegex(ValueError, "nested"):
                read_file(f"file://{file.name}")
