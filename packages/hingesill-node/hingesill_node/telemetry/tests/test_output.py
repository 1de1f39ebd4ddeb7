"""Tests of log lines that never wait for their reader."""

import logging
import os
import time
import unittest

from hingesill_node.telemetry.output import (
    LINES_A_SECOND,
    ORDINARY_LINES_A_SECOND,
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

    def test_a_reader_that_stands_still_costs_lines_not_time(self):
        started = time.monotonic()
        for second in range(400):
            self.now = float(second)
            for _ in range(50):
                self.handler.emit(build_record(text="x" * 500))
        self.assertLess(time.monotonic() - started, 5.0)
        self.assertGreater(self.handler.dropped, 0)

    def test_failures_are_kept_before_successes(self):
        for _ in range(1000):
            self.handler.emit(build_record())
        self.handler.emit(build_record(logging.WARNING, "trouble"))
        lines = os.read(self.reader, 1 << 16).decode().splitlines()
        self.assertEqual(len(lines), ORDINARY_LINES_A_SECOND + 1)
        self.assertEqual(lines[-1], "trouble")

    def test_lines_a_second_are_bounded(self):
        for _ in range(1000):
            self.handler.emit(build_record(logging.ERROR))
        lines = os.read(self.reader, 1 << 16).decode().splitlines()
        self.assertEqual(len(lines), LINES_A_SECOND)

    def test_what_was_dropped_is_told_with_the_next_line(self):
        for _ in range(ORDINARY_LINES_A_SECOND + 5):
            self.handler.emit(build_record())
        self.now = 1.0
        record = build_record()
        self.handler.emit(record)
        self.assertEqual(record.dropped, 5)

    def test_a_reader_that_is_gone_does_not_matter(self):
        os.close(self.reader)
        self.reader = None
        self.handler.emit(build_record())
        self.assertEqual(self.handler.dropped, 1)
