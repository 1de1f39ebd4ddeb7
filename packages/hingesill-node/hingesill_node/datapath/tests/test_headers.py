"""Tests of headers in which endpoints report their state."""

import unittest

from msgspec.structs import asdict

from hingesill_core.routing.availability import INVALID_BACKOFF, NO_BACKOFF
from hingesill_node.datapath.headerfields import HeaderFields
from hingesill_node.datapath.headers import RETRY_AFTER, read_backoff
from hingesill_node.datapath.responses import EndpointResponse
from hingesill_node.datapath.wire import OwnFormat

# A value for each header in which endpoints report their state, in the own dialect.
VALUES = {"load": "2", "warmth": "1", "limit": "3", "backoff": "3", "leaving": "1"}


def read_head(wire, **headers):
    """Return the Signals of a refusal with the headers of some `EndpointHeaders`."""
    response = EndpointResponse(None, "GET")
    response.status = 503
    names = asdict(wire.endpoint_headers)
    pairs = ((names[name], value) for name, value in headers.items())
    response.headers = HeaderFields(pairs)
    return wire.read_signals(response, 0.0, 0)


def list_unread(wire, values):
    """Return the endpoint headers of a dialect that do not change the Signals."""
    unchanged = read_head(wire)
    names = asdict(wire.endpoint_headers)
    return [
        name for name in names if read_head(wire, **{name: values[name]}) == unchanged
    ]


class EndpointHeadersTests(unittest.TestCase):
    def test_each_header_of_endpoints_is_read(self):
        self.assertEqual(list_unread(OwnFormat(), VALUES), [])


class BackoffTests(unittest.TestCase):
    def read(self, *values, status=503):
        response = EndpointResponse(None, "GET")
        response.status = status
        response.headers = HeaderFields(("retry-after", value) for value in values)
        return read_backoff(response, RETRY_AFTER)

    def test_seconds_and_fractions(self):
        for value, seconds in (("3", 3.0), ("0.25", 0.25), (" 2.5 ", 2.5), ("0", 0.0)):
            with self.subTest(value=value):
                self.assertEqual(self.read(value).seconds, seconds)

    def test_the_largest_of_several_values_applies(self):
        self.assertEqual(self.read("1", "3", "2").seconds, 3.0)
        self.assertEqual(self.read("1, 3").seconds, 3.0)
        self.assertEqual(self.read("x, 3").seconds, 3.0)

    def test_values_that_are_no_number_of_seconds(self):
        date = "Fri, 04 Dec 2026 10:00:00 GMT"
        for value in ("", "x", "-3", "nan", "inf", "1e3", "3 s", date):
            with self.subTest(value=value):
                self.assertIs(self.read(value), INVALID_BACKOFF)

    def test_a_response_without_the_header(self):
        self.assertIs(self.read(), NO_BACKOFF)

    def test_other_statuses_request_no_backoff(self):
        for status in (200, 429, 500):
            self.assertIs(self.read("3", status=status), NO_BACKOFF)
