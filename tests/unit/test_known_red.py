"""The plugin for known failures expects those of listed tests only."""

import io
import unittest
from types import SimpleNamespace

from nose2.result import ERROR, FAIL, PASS

from tests.lib.known_red import KnownRed, listed_tests

TEXT = """# A note.

a.b.Test.test_one
  command, seed 1

a.b.Test.test_two
  command, seed 2

a.b.Test.test_four intermittent
  command, seed 4
"""


class InactivePlugin(KnownRed):
    """A plugin that nose2 does not activate when it is created."""

    alwaysOn = False


class KnownRedTests(unittest.TestCase):
    def setUp(self):
        self.plugin = InactivePlugin()
        self.plugin.entries = listed_tests(TEXT)

    def report_outcome(self, name, outcome):
        """Return a test's outcome, and whether it is expected, to the run."""
        test = SimpleNamespace(id=lambda: f"a.b.Test.{name}")
        event = SimpleNamespace(test=test, outcome=outcome, expected=outcome == PASS)
        self.plugin.setTestOutcome(event)
        return event.outcome, event.expected

    def run_successful(self):
        event = SimpleNamespace(success=None)
        self.plugin.wasSuccessful(event)
        return event.success is not False

    def test_listed_failures_are_expected_and_no_others(self):
        self.assertEqual(self.report_outcome("test_one", FAIL), (FAIL, True))
        self.assertEqual(self.report_outcome("test_two", ERROR), (FAIL, True))
        self.assertEqual(self.report_outcome("test_three", FAIL), (FAIL, False))
        self.assertTrue(self.run_successful())

    def test_a_listed_test_that_passes_fails_the_run(self):
        """Guards against entries that stay after their fault is fixed."""
        self.report_outcome("test_three", PASS)
        self.assertTrue(self.run_successful())
        self.report_outcome("test_one", PASS)
        self.assertFalse(self.run_successful())
        stream = io.StringIO()
        stream.writeln = lambda line: stream.write(line + "\n")
        self.plugin.afterSummaryReport(SimpleNamespace(stream=stream))
        self.assertIn(
            "to be removed from KNOWN-RED.txt: a.b.Test.test_one", stream.getvalue()
        )

    def test_an_intermittent_failure_is_expected_and_so_is_a_pass(self):
        """Guards against a verdict that depends on the load of the machine."""
        self.assertEqual(self.report_outcome("test_four", FAIL), (FAIL, True))
        self.assertEqual(self.report_outcome("test_four", PASS), (PASS, True))
        self.assertTrue(self.run_successful())
