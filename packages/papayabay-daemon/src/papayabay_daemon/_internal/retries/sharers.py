"""How many daemons share a service's budget, or did within its window."""

from collections import deque

COUNT_SECONDS = 1.0
"""How long a count is taken for true: counting looks at every member."""


class SharerCount:
    """The most daemons that were beside a service's targets in a window.

    Each takes an equal part of what the budget holds beside first attempts.
    Who leaves has spent its part; were it divided anew by those who stay, the
    last of four would add all of it to the three quarters that are gone.

    Parameters
    ----------
    sharers : callable
        Takes a service; returns how many there are now.
    clock : callable
        Seconds.
    """

    def __init__(self, sharers, clock):
        self.sharers = sharers
        self.clock = clock
        self.counts = deque()

    def forget(self):
        """Begin anew, for another service."""
        self.counts.clear()

    def most(self):
        """Return the most within the window that ends now; 1 at least."""
        return max((count for _, count in self.counts), default=1)

    def count(self, service, window_s):
        """Count those who are there now, unless that was done just before."""
        at = self.clock()
        if self.counts and at - self.counts[-1][0] <= COUNT_SECONDS:
            return
        self.counts.append((at, max(1, self.sharers(service))))
        # A count holds until the next, so that of the one before the window
        # the last moment may lie within it.
        while at - self.counts[0][0] > window_s + COUNT_SECONDS:
            self.counts.popleft()
