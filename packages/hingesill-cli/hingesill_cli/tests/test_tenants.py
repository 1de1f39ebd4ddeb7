"""Tests of the table of organisations."""

import unittest
from unittest.mock import patch

from hingesill_cli.commands import EXIT_NO_ANSWER, EXIT_OK, Commands
from hingesill_cli.tenants import collect_rows, format_rows
from hingesill_cli.tests.test_trace import capture


def build_page(revision, **organisations):
    fields = {"rank": None, "burst": 30.0}
    entries = [
        {**fields, "name": name, "rate": rate, "figures": figures}
        for name, (rate, figures) in organisations.items()
    ]
    return {"revision": revision, "organisations": entries}


def build_figures(used, refused, waiting, coordinator):
    return dict(used=used, refused=refused, waiting=waiting, coordinator=coordinator)


class TableTests(unittest.TestCase):
    def test_sums_over_nodes_with_the_quotas_of_the_newest(self):
        older = build_page(
            4, acme=(50.0, build_figures(10.5, 1, 2, "n1")), gone=(1.0, None)
        )
        newest = build_page(
            5, acme=(60.0, build_figures(20, 0.5, 1, "n2")), free=(0.0, None)
        )
        lines = list(format_rows(collect_rows([older, newest])))
        self.assertEqual(
            [line.split() for line in lines[1:]],
            [
                ["acme", "60", "30", "30.5", "1.5", "3", "n1,n2"],
                ["free", "none", "-", "-", "-", "-", "-"],
            ],
        )

    def test_configuration_without_organisations(self):
        page = {"revision": 1, "organisations": None}
        with patch("hingesill_cli.commands.fetch_organisations", return_value=page):
            code, out, _ = capture(Commands().tenants)
        self.assertEqual(code, EXIT_OK)
        self.assertIn("callers need no keys", out)

    def test_a_node_that_does_not_answer(self):
        code, _, err = capture(Commands().tenants, "127.0.0.1:1")
        self.assertEqual(code, EXIT_NO_ANSWER)
        self.assertIn("127.0.0.1:1", err)
