"""A nose2 plugin that expects the tests listed in KNOWN-RED.txt to fail.

A test that reproduces a known fault may be merged before the fault is fixed.
Its failure does not fail the run; once it passes, the run fails until its
entry is removed from the list. A test of a fault that shows only now and then
has the word `intermittent` after its name, and may also pass.
"""

from pathlib import Path

from nose2.events import Plugin
from nose2.result import ERROR, FAIL, PASS

LIST = Path(__file__).parents[2] / "KNOWN-RED.txt"


def listed_tests(text):
    """Return the list's entries by the identifier of their test.

    Entries are separated by empty lines and begin with the test's
    identifier. Lines that begin with ``#`` are comments.
    """
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    entries = "\n".join(lines).split("\n\n")
    return {entry.split()[0]: entry.strip() for entry in entries if entry.strip()}


def is_intermittent(entry):
    """Return whether the test of an entry passes in some runs."""
    return entry.split("\n")[0].split()[1:] == ["intermittent"]


class KnownRed(Plugin):
    """Turns failures of listed tests into expected failures."""

    alwaysOn = True
    configSection = "known-red"

    def __init__(self):
        self.entries = listed_tests(LIST.read_text()) if LIST.exists() else {}
        self.fixed = []

    def setTestOutcome(self, event):
        """Mark a listed test's failure as expected, or record its pass."""
        entry = self.entries.get(event.test.id())
        if entry is None:
            return
        if event.outcome in {FAIL, ERROR}:
            event.outcome, event.expected = FAIL, True
        elif event.outcome == PASS and not is_intermittent(entry):
            self.fixed.append(event.test.id())

    def wasSuccessful(self, event):
        """Fail the run if a listed test passed."""
        if self.fixed:
            event.success = False

    def afterSummaryReport(self, event):
        """Print all entries of the list, and the entries to remove."""
        for entry in self.entries.values():
            event.stream.writeln(f"known red: {entry}")
        for test in self.fixed:
            event.stream.writeln(f"passes, to be removed from KNOWN-RED.txt: {test}")
