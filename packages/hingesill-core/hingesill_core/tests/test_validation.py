"""Tests of model validation: every fault is reported with its path."""

import unittest
import zlib
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.json import Decoder

from hingesill_core.configuration.log import decode_entry
from hingesill_core.configuration.snapshots import decode_snapshot
from hingesill_core.configuration.state import decode_difference
from hingesill_core.configuration.tail import decode_tail
from hingesill_core.findings import Findings
from hingesill_core.store import Value
from hingesill_core.validation import build_model, decode_model, parse_json

NESTED = b"[" * 60_000 + b"]" * 60_000


class Inner(Struct, frozen=True):
    """A nested model."""

    size: Annotated[int, Meta(ge=1)]


class Outer(Struct, frozen=True):
    """A model with a check of several fields."""

    name: str
    inner: Inner
    share: float = 0.5

    def __post_init__(self):
        if self.name == "none":
            raise ValueError("none is no name")


def check_share(value):
    """Raise ValueError for a share above one."""
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

    def test_a_valid_model(self):
        found = self.build(name="a", inner={"size": 3}, share=1)
        self.assertEqual(found, Outer("a", Inner(3), 1.0))

    def test_numbers_as_text(self):
        found = self.build(name="a", inner={"size": "3"}, share="0.25")
        self.assertEqual((found.inner.size, found.share), (3, 0.25))

    def test_every_fault_is_reported(self):
        lines = self.list_findings(inner={"size": 0}, share=2)
        self.assertEqual(len(lines), 3)
        for start, line in zip(("name: ", "inner.size: ", "share: "), lines):
            self.assertTrue(line.startswith(start), line)

    def test_a_nested_model_of_another_type(self):
        (line,) = self.list_findings(name="a", inner=4)
        self.assertTrue(line.startswith("inner: "), line)

    def test_a_check_of_several_fields(self):
        lines = self.list_findings(name="none", inner={"size": 3})
        self.assertEqual(lines, ["Outer: none is no name"])


class DecodeTests(unittest.TestCase):
    def setUp(self):
        self.decoder = Decoder(Outer, strict=False)

    def test_a_valid_document(self):
        found = decode_model(self.decoder, b'{"name": "a", "inner": {"size": 3}}')
        self.assertEqual(found, Outer("a", Inner(3)))

    def test_every_fault_of_a_document_is_reported(self):
        with self.assertRaises(ValueError) as caught:
            decode_model(self.decoder, b'{"inner": {"size": 0}, "share": "much"}')
        for path in ("name", "inner.size", "share"):
            self.assertIn(path, str(caught.exception))

    def test_invalid_documents(self):
        for data in (b"", b"{", b"[]", b"3", b"\xff"):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode_model(self.decoder, data)


class NestedDocumentTests(unittest.TestCase):
    """Guards against documents nested so deeply that what reads them ends."""

    def test_a_document_of_the_change_log(self):
        for decode in (
            parse_json,
            decode_entry,
            lambda data: decode_tail(data, 1),
            lambda data: decode_snapshot(Value(data, 1)),
            lambda data: decode_difference(zlib.compress(data)),
        ):
            with self.assertRaises(ValueError):
                decode(NESTED)
