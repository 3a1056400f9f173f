"""Lets a run pass over the tests that KNOWN-RED.txt lists, and prints them.

A test that shows a fault lands before the fault is mended. Only its failure
is passed over: once it passes, the run fails until the entry is taken away.
"""

from pathlib import Path

from nose2.events import Plugin
from nose2.result import ERROR, FAIL, PASS

LIST = Path(__file__).parents[2] / "KNOWN-RED.txt"


def listed_tests(text):
    """Return the test that each entry names first, and the whole entry.

    Entries are parted by empty lines. Lines that begin with ``#`` are notes.
    """
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    entries = "\n".join(lines).split("\n\n")
    return {entry.split()[0]: entry.strip() for entry in entries if entry.strip()}


class KnownRed(Plugin):
    """Expects the failure of listed tests."""

    alwaysOn = True
    configSection = "known-red"

    def __init__(self):
        self.entries = listed_tests(LIST.read_text()) if LIST.exists() else {}
        self.mended = []

    def setTestOutcome(self, event):
        """Turn a listed failure into an expected one, and note a pass."""
        if event.test.id() not in self.entries:
            return
        if event.outcome in {FAIL, ERROR}:
            event.outcome, event.expected = FAIL, True
        elif event.outcome == PASS:
            self.mended.append(event.test.id())

    def wasSuccessful(self, event):
        """Fail the run while a test that passes is listed."""
        if self.mended:
            event.success = False

    def afterSummaryReport(self, event):
        """Print every entry of the list, and those to take off it."""
        for entry in self.entries.values():
            event.stream.writeln(f"known red: {entry}")
        for test in self.mended:
            event.stream.writeln(f"passes, to be taken off KNOWN-RED.txt: {test}")
