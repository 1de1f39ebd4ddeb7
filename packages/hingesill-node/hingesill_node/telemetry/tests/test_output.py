"""Tests of rate-limited, non-blocking log output."""

import logging
import os
import time
import unittest

from hingesill_node.telemetry.output import (
    MAX_LINES_PER_SECOND,
    MAX_ROUTINE_LINES_PER_SECOND,
    BoundedHandler,
)


def build_record(level=logging.INFO, text="x"):
    return logging.LogRecord("n", level, "f", 1, text, (), None)


class OutputTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.now = 0.0
        self.handler = BoundedHandler(self.writer, lambda: self.now)

    def tearDown(self):
        os.close(self.writer)
        if self.reader is not None:
            os.close(self.reader)

    def test_a_stalled_reader_does_not_block_the_writer(self):
        started = time.monotonic()
        for second in range(400):
            self.now = float(second)
            for _ in range(50):
                self.handler.emit(build_record(text="x" * 500))
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertGreater(self.handler.dropped, 0)

    def test_routine_lines_do_not_displace_warnings(self):
        for _ in range(1000):
            self.handler.emit(build_record())
        self.handler.emit(build_record(logging.WARNING, "trouble"))
        lines = os.read(self.reader, 1 << 16).decode().splitlines()
        self.assertEqual(len(lines), MAX_ROUTINE_LINES_PER_SECOND + 1)
        self.assertEqual(lines[-1], "trouble")

    def test_the_rate_of_lines_is_limited(self):
        for _ in range(1000):
            self.handler.emit(build_record(logging.ERROR))
        lines = os.read(self.reader, 1 << 16).decode().splitlines()
        self.assertEqual(len(lines), MAX_LINES_PER_SECOND)

    def test_the_next_line_reports_the_number_of_dropped_lines(self):
        for _ in range(MAX_ROUTINE_LINES_PER_SECOND + 5):
            self.handler.emit(build_record())
        self.now = 1.0
        record = build_record()
        self.handler.emit(record)
        self.assertEqual(record.dropped, 5)

    def test_a_closed_reader_raises_no_error(self):
        os.close(self.reader)
        self.reader = None
        self.handler.emit(build_record())
        self.assertEqual(self.handler.dropped, 1)
