"""Tests that names which leave the process keep their spelling."""

import io
import re
import tokenize
import unittest
from pathlib import Path

from tests.test_docs import read_sources

NAMES = Path(__file__).parent.parent / "docs" / "EXTERNAL_NAMES.txt"


def read_names():
    """Return the external names, one a line of the page."""
    return NAMES.read_text().splitlines()


def remove_comments(code):
    """Return a module's code without its comments."""
    tokens = tokenize.generate_tokens(io.StringIO(code).readline)
    kept = [token for token in tokens if token.type != tokenize.COMMENT]
    return "\n".join(token.string for token in kept)


def compile_name(name):
    """Return a pattern that finds an external name as a whole word."""
    before = r"(?<![\w-])" if re.match(r"\w", name) else ""
    after = r"(?![\w-])" if re.search(r"[^\W_]\Z", name) else ""
    return re.compile(before + re.escape(name) + after)


class ExternalNameTests(unittest.TestCase):
    """Guards against a rename of what clients, peers, stores and operators see.

    Fields, keys, headers and reasons that leave the process are spelled in the code of
    the packages and the adapter; a rename there breaks nodes of another build, stored
    data and tools that read logs.
    """

    def test_each_name_stands_in_the_code(self):
        code = "\n".join(remove_comments(text) for text in read_sources().values())
        names = read_names()
        self.assertGreater(len(names), 400)
        for name in names:
            with self.subTest(name=name):
                self.assertTrue(compile_name(name).search(code), "stands nowhere")

    def test_names_are_sorted_and_unique(self):
        names = read_names()
        self.assertEqual(names, sorted(set(names)))
