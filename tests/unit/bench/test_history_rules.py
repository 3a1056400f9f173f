"""Tests of the rules, the traces and the file format of histories."""

import tempfile
import unittest
from pathlib import Path

from papayabay_bench.history.records import (
    History,
    read_history,
    write_history,
)
from papayabay_bench.history.rules import RULES, check
from papayabay_bench.history.violations import violation_lines
from tests.unit.bench.history_cases import (
    LIMITS,
    VALID,
    VIOLATING,
    effect,
    sent,
)


class RulesTest(unittest.TestCase):
    def test_each_violation_is_found_and_no_other(self):
        self.assertEqual(VIOLATING.keys(), RULES.keys())
        for rule, histories in VIOLATING.items():
            for name, records in histories.items():
                with self.subTest(rule=rule, history=name):
                    found = check(History(1, records), LIMITS)
                    self.assertEqual({one.rule for one in found}, {rule})

    def test_valid_histories_have_no_violation(self):
        for name, records in VALID.items():
            with self.subTest(history=name):
                self.assertEqual(check(History(1, records), LIMITS), [])


class TraceTest(unittest.TestCase):
    def test_trace_has_only_the_records_of_the_violation(self):
        others = [sent(f"o{n}", time=n / 100) for n in range(50)]
        records = [
            *others,
            sent("a"),
            effect("a"),
            sent("b", 0.7),
            effect("b", time=0.8),
        ]
        late = [effect("c", time=0.9), sent("c", time=3.0)]
        (found,) = check(History(7, records + late), LIMITS)
        trace = [(type(one).__name__, one.attempt) for one in found.trace]
        expected = [("Invocation", "a"), ("Effect", "a")]
        expected += [("Invocation", "b"), ("Effect", "b")]
        self.assertEqual(trace, expected)
        lines = list(violation_lines(found, 7))
        self.assertTrue(lines[0].startswith("seed 7: at-most-once: k: "), lines[0])
        self.assertEqual(len(lines), 5)


class FileTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(directory) / "history.jsonl"

    def test_written_history_is_read_unchanged(self):
        records = [one for group in VALID.values() for one in group]
        history = History(42, records)
        write_history(history, self.path)
        read = read_history(self.path)
        self.assertEqual((read.seed, read.records), (42, history.records))

    def test_error_names_the_first_invalid_line(self):
        for line in ("{", "[]", '{"record": "Nothing"}', '{"record": "Fault"}'):
            with self.subTest(line=line):
                self.path.write_text('{"record": "History", "seed": 1}\n' + line)
                with self.assertRaisesRegex(ValueError, ":2: not a record"):
                    read_history(self.path)


if __name__ == "__main__":
    unittest.main()
