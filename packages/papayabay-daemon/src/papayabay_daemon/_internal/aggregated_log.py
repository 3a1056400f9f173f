"""Log lines that sum up changes of which thousands may come at once."""

import asyncio

PERIOD_SECONDS = 1.0
NAMES_SHOWN = 3


class AggregatedLog:
    """Logs how many things changed in the same way, once a second at most.

    When a failure domain is lost, hundreds of members change within a few
    seconds. A line for each, at every daemon, would bury all other lines.

    Parameters
    ----------
    write : callable
        Method of the logger for the level, such as ``log.notice``.
    what : str
        Begins the line, such as ``members declared dead``.
    """

    def __init__(self, write, what):
        self.write = write
        self.what = what
        self.count = 0
        self.names = []

    def add(self, name):
        """Count one change; the line follows within `PERIOD_SECONDS`."""
        self.count += 1
        if len(self.names) < NAMES_SHOWN:
            self.names.append(name)
        if self.count > 1:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a loop nothing would ever write what is counted.
            self.flush()
        else:
            loop.call_later(PERIOD_SECONDS, self.flush)

    def flush(self):
        """Log what has been counted."""
        count, names = self.count, self.names
        self.count, self.names = 0, []
        self.write("{}: {} (first: {})", self.what, count, ", ".join(names))
