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
    BROKEN,
    KEPT,
    LIMITS,
    effect,
    sent,
)


class RulesTest(unittest.TestCase):
    def test_each_broken_rule_is_found_and_no_other(self):
        self.assertEqual(BROKEN.keys(), RULES.keys())
        for rule, histories in BROKEN.items():
            for name, records in histories.items():
                with self.subTest(rule=rule, history=name):
                    found = check(History(1, records), LIMITS)
                    self.assertEqual({one.rule for one in found}, {rule})

    def test_near_misses_keep_every_rule(self):
        for name, records in KEPT.items():
            with self.subTest(history=name):
                self.assertEqual(check(History(1, records), LIMITS), [])


class TraceTest(unittest.TestCase):
    def test_trace_holds_only_what_concerns_the_violation(self):
        others = [sent(f"o{n}", at=n / 100) for n in range(50)]
        records = [*others, sent("a"), effect("a"), sent("b", 0.7), effect("b", at=0.8)]
        late = [effect("c", at=0.9), sent("c", at=3.0)]
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

    def test_a_written_history_is_read_as_it_was(self):
        records = [one for group in KEPT.values() for one in group]
        history = History(42, records)
        write_history(history, self.path)
        read = read_history(self.path)
        self.assertEqual((read.seed, read.records), (42, history.records))

    def test_a_line_that_is_no_record_is_named(self):
        for line in ("{", "[]", '{"record": "Nothing"}', '{"record": "Fault"}'):
            with self.subTest(line=line):
                self.path.write_text('{"record": "History", "seed": 1}\n' + line)
                with self.assertRaisesRegex(ValueError, ":2: not a record"):
                    read_history(self.path)


if __name__ == "__main__":
    unittest.main()
