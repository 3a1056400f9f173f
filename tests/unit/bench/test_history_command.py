"""Tests of the `check` command and of the summary of its results."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from papayabay_bench.commands import load_command
from papayabay_bench.history.records import Effect, History, write_history
from papayabay_bench.history.run import SeedResult, evaluate, failed_fleet_result
from papayabay_bench.history.summary import summary_lines


def effect(attempt, time):
    return Effect("t-0", "orders", attempt, "k", "/orders/1", time)


class CheckCommandTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "history.jsonl"

    def run_check(self, **options):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = load_command("check")(**options)
        return code, out.getvalue(), err.getvalue()

    def test_violation_exits_with_1_and_prints_seed_and_trace(self):
        write_history(History(8, [effect("a", 1.0), effect("b", 2.0)]), self.path)
        code, out, _ = self.run_check(history=str(self.path))
        self.assertEqual(code, 1)
        self.assertIn("seed 8: at-most-once: k: 2 effects", out)
        self.assertEqual(out.count('"record": "Effect"'), 2)

    def test_valid_history_exits_with_0(self):
        write_history(History(8, [effect("a", 1.0)]), self.path)
        code, out, _ = self.run_check(history=str(self.path))
        self.assertEqual(code, 0)
        self.assertIn("1 effects", out)

    def test_invalid_options_exit_with_2_and_run_nothing(self):
        self.path.write_text("no history\n")
        for options, message in (
            ({"faults": "flood"}, "unknown fault flood"),
            ({"seeds": "9..3"}, "A..B"),
            ({"history": str(self.path)}, ":1: not a record"),
            ({"history": str(self.path) + "x"}, "No such file"),
        ):
            with self.subTest(options=options):
                code, out, err = self.run_check(**options)
                self.assertEqual((code, out), (2, ""))
                self.assertIn(message, err)


class SummaryTest(unittest.TestCase):
    def test_summary_has_sums_and_failed_seeds(self):
        broken = evaluate(History(8, [effect("a", 1.0), effect("b", 2.0)]))
        lost = failed_fleet_result(9, ExceptionGroup("g", [TimeoutError("no quorum")]))
        lines = list(summary_lines([broken, SeedResult(7, calls=5), lost]))
        self.assertIn("calls: 5", lines)
        self.assertIn("effects: 2", lines)
        self.assertIn("violations: 2 (at-most-once 1, recovery 1)", lines)
        self.assertIn("seeds with violations: 8, 9", lines)


if __name__ == "__main__":
    unittest.main()
