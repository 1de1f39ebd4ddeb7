"""Tests that each checker of the matrix detects a node that violates its rule."""

import tempfile
import unittest
from pathlib import Path

from matrix.changefaults import CHANGE_FAULTS
from matrix.changes import ChangeStage
from matrix.changesteps import CHANGE_STEPS
from matrix.faults import FAULTS
from matrix.promises import PROMISES, check_promises
from matrix.stage import Stage
from matrix.steps import STEPS
from standins.fleet import Fleet


def run_scenario(stage_class, mutation, fault, step):
    """Return the names of the promises that a mutation breaks in a scenario."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        stage = stage_class(fleet, mutation)
        results = check_promises(stage.run(fault, step))
    return {
        name for name, result in results.items() if isinstance(result, list) and result
    }


class CheckerTests(unittest.TestCase):
    def check(self, promise, mutation, fault="none", step="while in flight"):
        self.assertIsNotNone(PROMISES.get(promise))
        broken = run_scenario(Stage, mutation, FAULTS.get(fault)(), STEPS.get(step))
        self.assertIn(promise, broken)

    def test_no_mutation_breaks_nothing(self):
        broken = run_scenario(
            Stage, "", FAULTS.get("none")(), STEPS.get("while in flight")
        )
        self.assertEqual(broken, set())

    def test_at_most_once(self):
        fault = "all reset before the answer"
        self.check("not repeatable at most once", "repeats moves", fault)

    def test_not_run(self):
        fault = "all reset before the answer"
        self.check("not run did not run", "lies about not run", fault)

    def test_own_answer(self):
        self.check("whole own answer", "mixes answers")

    def test_answered(self):
        self.check("answered ran", "claims answers", "all shed")

    def test_leaving_endpoint(self):
        self.check("leaving endpoint", "ignores drains", step="during a drain")

    def test_planned_stop(self):
        self.check("planned stop", "stops at once", step="during a planned stop")

    def test_probe_budget(self):
        self.check("probe budget", "probes without pace", step="during a drain")

    def test_final_answer_at_once(self):
        self.check("final answer at once", "holds refusals back", "all shed")

    def test_configuration(self):
        broken = run_scenario(
            ChangeStage,
            "accepts without writing",
            CHANGE_FAULTS.get("none")(),
            CHANGE_STEPS.get("accept"),
        )
        self.assertIn("configuration in force", broken)
