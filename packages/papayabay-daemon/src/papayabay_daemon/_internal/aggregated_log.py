"""Aggregates bursts of similar changes into single log lines."""

import asyncio

PERIOD_SECONDS = 1.0
"""Time from the first change to the line that reports it."""
NAMES_SHOWN = 3


class AggregatedLog:
    """Logs the number of changes of one kind, at most once a second.

    When a failure domain fails, hundreds of members change their state within
    a few seconds. A line for each, at every daemon, would bury all others.

    Parameters
    ----------
    write : callable
        Method of the logger for the level, such as ``log.notice``.
    subject : str
        Begins the line, such as ``members declared dead``.
    """

    def __init__(self, write, subject):
        self.write = write
        self.subject = subject
        self.count = 0
        self.names = []

    def add(self, name):
        """Count a change; it is logged within `PERIOD_SECONDS`.

        Parameters
        ----------
        name : str
            What has changed, such as a member's name.
        """
        self.count += 1
        if len(self.names) < NAMES_SHOWN:
            self.names.append(name)
        if self.count > 1:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # There is no running loop to schedule the line on.
            self.flush()
        else:
            loop.call_later(PERIOD_SECONDS, self.flush)

    def flush(self):
        """Log the changes counted so far, with the first few names."""
        count, names = self.count, self.names
        self.count, self.names = 0, []
        self.write("{}: {} (first: {})", self.subject, count, ", ".join(names))
