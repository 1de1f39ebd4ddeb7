"""Tests of checked models: every fault is named with its place."""

import unittest
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.json import Decoder

from hingesill_core.findings import Findings
from hingesill_core.validation import build_model, decode_model


class Inner(Struct, frozen=True):
    """A part of the model."""

    size: Annotated[int, Meta(ge=1)]


class Outer(Struct, frozen=True):
    """A model with a check over its fields."""

    name: str
    inner: Inner
    share: float = 0.5

    def __post_init__(self):
        if self.name == "none":
            raise ValueError("none is no name")


def check_share(value):
    """Refuse a share above one."""
    if value > 1:
        raise ValueError("a share is at most 1")
    return value


class BuildTests(unittest.TestCase):
    def build(self, **raw):
        return build_model(Outer, raw, {"share": check_share})

    def list_findings(self, **raw):
        found = self.build(**raw)
        self.assertIsInstance(found, Findings)
        return [str(finding) for finding in found]

    def test_a_whole_model(self):
        found = self.build(name="a", inner={"size": 3}, share=1)
        self.assertEqual(found, Outer("a", Inner(3), 1.0))

    def test_numbers_as_text(self):
        found = self.build(name="a", inner={"size": "3"}, share="0.25")
        self.assertEqual((found.inner.size, found.share), (3, 0.25))

    def test_every_fault_is_named(self):
        lines = self.list_findings(inner={"size": 0}, share=2)
        self.assertEqual(len(lines), 3)
        for start, line in zip(("name: ", "inner.size: ", "share: "), lines):
            self.assertTrue(line.startswith(start), line)

    def test_a_part_of_another_kind(self):
        (line,) = self.list_findings(name="a", inner=4)
        self.assertTrue(line.startswith("inner: "), line)

    def test_what_fields_break_together(self):
        lines = self.list_findings(name="none", inner={"size": 3})
        self.assertEqual(lines, ["Outer: none is no name"])


class DecodeTests(unittest.TestCase):
    def setUp(self):
        self.decoder = Decoder(Outer, strict=False)

    def test_a_whole_document(self):
        found = decode_model(self.decoder, b'{"name": "a", "inner": {"size": 3}}')
        self.assertEqual(found, Outer("a", Inner(3)))

    def test_every_fault_of_a_document_is_named(self):
        with self.assertRaises(ValueError) as caught:
            decode_model(self.decoder, b'{"inner": {"size": 0}, "share": "much"}')
        for place in ("name", "inner.size", "share"):
            self.assertIn(place, str(caught.exception))

    def test_what_is_no_document(self):
        for data in (b"", b"{", b"[]", b"3", b"\xff"):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode_model(self.decoder, data)
