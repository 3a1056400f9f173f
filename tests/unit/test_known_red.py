"""The list of known failures passes over just what it names."""

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
"""


class Unregistered(KnownRed):
    alwaysOn = False


class KnownRedTests(unittest.TestCase):
    def setUp(self):
        self.plugin = Unregistered()
        self.plugin.entries = listed_tests(TEXT)

    def ended(self, name, outcome):
        """Return the outcome that the run takes a test's end for."""
        test = SimpleNamespace(id=lambda: f"a.b.Test.{name}")
        event = SimpleNamespace(test=test, outcome=outcome, expected=outcome == PASS)
        self.plugin.setTestOutcome(event)
        return event.outcome, event.expected

    def successful(self):
        event = SimpleNamespace(success=None)
        self.plugin.wasSuccessful(event)
        return event.success is not False

    def test_listed_failures_are_expected_and_no_others(self):
        self.assertEqual(self.ended("test_one", FAIL), (FAIL, True))
        self.assertEqual(self.ended("test_two", ERROR), (FAIL, True))
        self.assertEqual(self.ended("test_three", FAIL), (FAIL, False))
        self.assertTrue(self.successful())

    def test_a_listed_test_that_passes_fails_the_run(self):
        """An entry stayed on the list after its fault had been mended."""
        self.ended("test_three", PASS)
        self.assertTrue(self.successful())
        self.ended("test_one", PASS)
        self.assertFalse(self.successful())
        stream = io.StringIO()
        stream.writeln = lambda line: stream.write(line + "\n")
        self.plugin.afterSummaryReport(SimpleNamespace(stream=stream))
        self.assertIn(
            "to be taken off KNOWN-RED.txt: a.b.Test.test_one", stream.getvalue()
        )
