"""Tests of headers that endpoints of both dialects write."""

import unittest

from msgspec.structs import asdict

from hingesill_core.routing.availability import INVALID_BACKOFF, NO_BACKOFF
from hingesill_node.datapath.headers import RETRY_AFTER, read_rest
from hingesill_node.datapath.responses import EndpointResponse
from hingesill_node.datapath.wire import OwnFormat

# A value of each header by which an endpoint speaks of itself, in own dialect.
VALUES = {"load": "2", "warmth": "1", "limit": "3", "backoff": "3", "leaving": "1"}


def read_head(wire, **headers):
    """Return the Signals of a refusal with some headers, by their names here."""
    response = EndpointResponse(None, "GET")
    response.status = 503
    names = asdict(wire.endpoint_headers)
    response.headers = [(names[name], value) for name, value in headers.items()]
    return wire.read_signals(response, 0.0, 0)


def list_unread(wire, values):
    """Return the headers of endpoints that a dialect names and does not read."""
    silent = read_head(wire)
    names = asdict(wire.endpoint_headers)
    return [name for name in names if read_head(wire, **{name: values[name]}) == silent]


class EndpointHeadersTests(unittest.TestCase):
    def test_each_header_of_endpoints_is_read(self):
        self.assertEqual(list_unread(OwnFormat(), VALUES), [])


class RestTests(unittest.TestCase):
    def read(self, *values, status=503):
        response = EndpointResponse(None, "GET")
        response.status = status
        response.headers = [("retry-after", value) for value in values]
        return read_rest(response, RETRY_AFTER)

    def test_seconds_and_fractions(self):
        for value, seconds in (("3", 3.0), ("0.25", 0.25), (" 2.5 ", 2.5), ("0", 0.0)):
            with self.subTest(value=value):
                self.assertEqual(self.read(value).seconds, seconds)

    def test_the_largest_of_several_counts(self):
        self.assertEqual(self.read("1", "3", "2").seconds, 3.0)
        self.assertEqual(self.read("1, 3").seconds, 3.0)
        self.assertEqual(self.read("x, 3").seconds, 3.0)

    def test_what_is_no_number_of_seconds(self):
        date = "Fri, 04 Dec 2026 10:00:00 GMT"
        for value in ("", "x", "-3", "nan", "inf", "1e3", "3 s", date):
            with self.subTest(value=value):
                self.assertIs(self.read(value), INVALID_BACKOFF)

    def test_an_answer_that_asks_for_none(self):
        self.assertIs(self.read(), NO_BACKOFF)

    def test_other_statuses_speak_of_the_caller(self):
        for status in (200, 429, 500):
            self.assertIs(self.read("3", status=status), NO_BACKOFF)
