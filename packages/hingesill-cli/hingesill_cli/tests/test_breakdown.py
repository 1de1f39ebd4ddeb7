"""Tests of the latency breakdown of requests."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from hingesill_cli.commands import EXIT_INVALID, EXIT_NO_ANSWER, EXIT_OK, Commands
from hingesill_cli.tests.test_trace import build_line

FIRST = "2026-12-02 10:00:00,100"
LATER = "2026-12-02 10:00:03,900"


def build_end(time, milliseconds, steps, reason="", **others):
    fields = {"service": "arena", "ms": milliseconds, "steps": steps, "reason": reason}
    return build_line(6003, "trouble", time, **fields, **others)


class BreakdownTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "n1.log"
        hedged = ["0ms asked i-1", "9ms sent i-1 4/6 x1 0ms old"]
        hedged += ["50ms hedged i-2 0/6 x1 0ms old", "90ms ended i-2 answered"]
        retried = ["0ms asked i-1", "5ms sent i-1 no report", "20ms ended i-1 lost"]
        retried += ["25ms sent i-2 1/6 x1 0ms old", "70ms ended i-2 answered"]
        self.write(
            build_end(FIRST, 90, hedged),
            build_end(FIRST, 70, retried),
            build_end(LATER, 900, ["0ms asked"], "deadline-unreachable"),
            build_line(3001, "the store does not answer"),
            build_end("yesterday", 5, []),
        )

    def write(self, *lines):
        self.file.write_text("\n".join(lines))

    def break_down(self, *arguments, **options):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = Commands().breakdown(*arguments, **options)
        return code, out.getvalue().splitlines(), err.getvalue()

    def test_a_line_for_each_window_and_service(self):
        code, (head, first, later), _ = self.break_down(self.file)
        self.assertEqual(code, EXIT_OK)
        self.assertEqual(
            first.split()[1:],
            ["arena", "2", "9/9", "45/45", "90/90", "1", "1", "0"]
            + ["0:1", "1:1", "4:1;", "-"],
        )
        self.assertEqual(
            later.split()[1:],
            ["arena", "1", "-", "-", "900/900", "0", "0", "1"]
            + ["-;", "deadline-unreachable:1"],
        )

    def test_the_length_of_a_window(self):
        _, lines, _ = self.break_down(self.file, seconds=60)
        self.assertEqual(len(lines), 2)

    def test_organisations(self):
        self.write(
            build_end(FIRST, 90, [], organisation="acme"),
            build_end(FIRST, 70, [], "quota-exceeded", organisation="acme"),
            build_end(FIRST, 50, [], organisation="other"),
            build_line(6005, "no key", FIRST, cause="unknown key"),
            build_line(6005, "no key", FIRST, cause="key removed"),
        )
        _, lines, _ = self.break_down(self.file, by="organisation")
        self.assertIn("organisation", lines[0])
        rows = [line.split() for line in lines[1:]]
        self.assertEqual(
            [(row[1], row[2], row[-1]) for row in rows],
            [
                ("-", "1", "unauthenticated:1"),
                ("acme", "2", "quota-exceeded:1"),
                ("other", "1", "-"),
            ],
        )
        _, lines, _ = self.break_down(self.file, organisation="acme")
        self.assertEqual([line.split()[1:3] for line in lines[1:]], [["arena", "2"]])

    def test_logs_without_requests_give_an_error(self):
        self.write(build_line(3001, "the store does not answer"))
        code, _, err = self.break_down(self.file)
        self.assertEqual(code, EXIT_NO_ANSWER)
        self.assertIn("no line", err)

    def test_bad_input(self):
        for arguments, options, word in (
            ((), {}, "log file"),
            (("/nowhere.log",), {}, "/nowhere.log"),
            ((self.file,), {"seconds": 0}, "--seconds"),
            ((self.file,), {"seconds": "x"}, "--seconds"),
            ((self.file,), {"by": "colour"}, "--by"),
        ):
            with self.subTest(arguments=arguments, options=options):
                code, _, err = self.break_down(*arguments, **options)
                self.assertEqual(code, EXIT_INVALID)
                self.assertIn(word, err)
