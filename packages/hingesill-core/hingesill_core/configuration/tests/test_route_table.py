"""Tests of the route lookup."""

import unittest

from hingesill_core.configuration.route_table import RouteTable
from hingesill_core.configuration.services import Route


def build_route(path, host="", method=""):
    return Route(f"s{path}", method, path, True, True, 1.0, host=host)


class RouteTableTests(unittest.TestCase):
    def test_longest_prefix_at_a_segment(self):
        table = RouteTable([build_route("/a/"), build_route("/a/b/")])
        self.assertEqual(table.find("GET", "/a/b/c").path, "/a/b/")
        self.assertEqual(table.find("GET", "/a/bc").path, "/a/")
        self.assertEqual(table.find("GET", "/a/b").path, "/a/")
        self.assertIsNone(table.find("GET", "/a"))

    def test_prefix_without_a_slash_covers_itself(self):
        table = RouteTable([build_route("/a")])
        self.assertEqual(table.find("GET", "/a").path, "/a")
        self.assertEqual(table.find("GET", "/a/7").path, "/a")
        self.assertIsNone(table.find("GET", "/ab"))

    def test_root(self):
        table = RouteTable([build_route("/")])
        self.assertEqual(table.find("GET", "/x/y").path, "/")
        self.assertEqual(table.find("GET", "/").path, "/")

    def test_routes_of_another_host_do_not_match(self):
        table = RouteTable([build_route("/a/", "one.example")])
        self.assertIsNone(table.find("GET", "/a/b", "two.example"))
        self.assertIsNotNone(table.find("GET", "/a/b", "ONE.example"))

    def test_routes_of_the_host_take_precedence(self):
        table = RouteTable([build_route("/a/b/"), build_route("/a/", "one.example")])
        self.assertEqual(table.find("GET", "/a/b/c", "one.example").path, "/a/")
        self.assertEqual(table.find("GET", "/a/b/c", "two.example").path, "/a/b/")

    def test_method(self):
        table = RouteTable([build_route("/a", method="GET")])
        self.assertIsNone(table.find("POST", "/a"))
