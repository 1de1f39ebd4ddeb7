"""Tests that pages and code say the same, in both directions."""

import re
import unittest
from pathlib import Path

from hingesill_core.reasons import RefusalReason, RetryReason
from hingesill_node.telemetry.counters import COUNTER_TEXTS, GAUGE_TEXTS
from hingesill_node.telemetry.events import Event
from scripts.generate_docs import build_events_page, build_settings_page

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#]+)\)")


def read_first_column(text):
    """Return the code words in the first column of a page's tables."""
    return re.findall(r"^\| `([a-z_-]+)` \|", text, re.MULTILINE)


def read_sources():
    """Return the code of all packages and the adapter without their tests."""
    folders = (ROOT / "packages", ROOT / "platform")
    files = [f for folder in folders for f in folder.rglob("*.py")]
    files = [file for file in files if "tests" not in file.parts]
    return {str(file): file.read_text() for file in files}


class UseTests(unittest.TestCase):
    def test_every_reason_and_event_is_used(self):
        sources = read_sources()
        for kind, defined in (
            (RefusalReason, "reasons.py"),
            (RetryReason, "reasons.py"),
            (Event, "events.py"),
        ):
            code = "".join(
                t for name, t in sources.items() if not name.endswith(defined)
            )
            for member in kind:
                with self.subTest(member=member):
                    used = f"{kind.__name__}.{member.name}" in code
                    self.assertTrue(used, "stands in the catalogue only")


class PageTests(unittest.TestCase):
    def test_reasons(self):
        text = (DOCS / "REASONS.md").read_text()
        refusals, retries = text.split("## Further sends")
        self.assertEqual(
            sorted(read_first_column(refusals)), sorted(r.value for r in RefusalReason)
        )
        self.assertEqual(
            sorted(read_first_column(retries)), sorted(r.value for r in RetryReason)
        )

    def test_metrics(self):
        names = read_first_column((DOCS / "METRICS.md").read_text())
        expected = [f"hingesill_{name}" for name in (*COUNTER_TEXTS, *GAUGE_TEXTS)]
        self.assertEqual(sorted(names), sorted(expected))

    def test_settings_page_is_up_to_date(self):
        self.assertEqual((DOCS / "SETTINGS.md").read_text(), build_settings_page())

    def test_events_page_is_up_to_date(self):
        self.assertEqual((DOCS / "EVENTS.md").read_text(), build_events_page())

    def test_links_lead_somewhere(self):
        for page in [*DOCS.rglob("*.md"), ROOT / "README.md"]:
            for target in LINK.findall(page.read_text()):
                if not target.startswith("http"):
                    with self.subTest(page=page.name, target=target):
                        self.assertTrue((page.parent / target).exists())
