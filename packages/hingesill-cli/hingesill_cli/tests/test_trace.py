"""Tests of tracing a request through log files."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from hingesill_cli.commands import EXIT_INVALID, EXIT_NO_ANSWER, EXIT_OK, Commands


def build_line(event, text, time="2026-12-02 10:00:00,000", node="n1", **fields):
    content = {"asctime": time, "node": node, "message": text, "event": event}
    return json.dumps({**content, **fields})


def capture(command, *arguments, **options):
    """Return a command's exit code, output and errors."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = command(*arguments, **options)
    return code, out.getvalue(), err.getvalue()


class TraceTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "n1.log"
        steps = ["0ms asked i-1,i-2", "9ms sent i-2 1/3 x1 0ms old", "80ms ended i-2"]
        self.file.write_text(
            "\n".join(
                [
                    build_line(3001, "the store does not answer", detail="status 503"),
                    build_line(4002, "an endpoint was ejected", endpoint="i-2"),
                    build_line(4002, "an endpoint was ejected", endpoint="i-9"),
                    "  12.5 prefix " + build_line(6003, "trouble", **self.end(steps)),
                    "no JSON {",
                ]
            )
        )

    def end(self, steps):
        return {"request": "abc", "service": "arena", "ms": 80, "steps": steps}

    def trace(self, *arguments, **options):
        return capture(Commands().trace, *arguments, **options)

    def test_trace_with_events_of_node_and_endpoints(self):
        code, out, _ = self.trace("abc", self.file)
        self.assertEqual(code, EXIT_OK)
        for words in ("9ms sent i-2", "does not answer", "endpoint=i-2"):
            self.assertIn(words, out)
        self.assertNotIn("i-9", out)

    def test_unknown_request(self):
        code, _, err = self.trace("xyz", self.file)
        self.assertEqual(code, EXIT_NO_ANSWER)
        self.assertIn("xyz", err)

    def test_missing_file(self):
        code, _, err = self.trace("abc", "/nowhere.log")
        self.assertEqual(code, EXIT_INVALID)
        self.assertIn("/nowhere.log: No such file", err)

    def test_without_a_file(self):
        self.assertEqual(self.trace("abc")[0], EXIT_INVALID)

    def test_request_without_a_valid_key(self):
        fields = {"request": "abc", "host": "h", "path": "/x/", "version": 7}
        self.file.write_text(build_line(6005, "no key", cause="unknown key", **fields))
        code, out, _ = self.trace("abc", self.file)
        self.assertEqual(code, EXIT_OK)
        self.assertIn("unknown key, route h/x/, configuration 7", out)

    def test_key_removed_while_the_request_waited(self):
        """The request has a line at its end, so it must not be shown twice."""
        end = self.end([])
        removed = build_line(6005, "no key", cause="key removed", request="abc")
        self.file.write_text(f"{removed}\n{build_line(6003, 'trouble', **end)}")
        _, out, _ = self.trace("abc", self.file)
        self.assertEqual(out.count("service arena"), 1)
        self.assertNotIn("key removed", out)

    def test_requests_of_an_organisation(self):
        lines = [
            build_line(6003, "trouble", **self.end([]), organisation=name)
            for name in ("acme", "other")
        ]
        self.file.write_text("\n".join(lines))
        for request in ("abc", "all"):
            code, out, _ = self.trace(request, self.file, organisation="acme")
            self.assertEqual(code, EXIT_OK)
            self.assertIn("organisation acme", out)
            self.assertNotIn("other", out)
        code, _, err = self.trace("abc", self.file, organisation="none")
        self.assertEqual(code, EXIT_NO_ANSWER)
        self.assertIn("none", err)
        self.assertEqual(self.trace("all", self.file)[0], EXIT_INVALID)
