"""Counts the daemons that share a service's retry budget."""

from collections import deque

COUNT_INTERVAL_SECONDS = 1.0
"""How long a count is reused: each count iterates over all members."""


class SharerCount:
    """The highest number of daemons beside a service's targets in a window.

    Each daemon gets an equal share of the fixed part of the budget. A daemon
    that leaves may have spent its share; if the rest divided the fixed part
    among themselves again, the last of four daemons would add all of it to the
    three quarters that are already spent.

    Parameters
    ----------
    sharers : callable
        Takes a service; returns how many daemons share its budget now.
    clock : callable
        Seconds.

    Attributes
    ----------
    next_at : float
        Time after which `update` is due. Checked by the caller of
        `update`, which would return at once for nearly every call.
    """

    def __init__(self, sharers, clock):
        self.sharers = sharers
        self.clock = clock
        self.counts = deque()
        self.next_at = float("-inf")

    def reset(self):
        """Drop all counts, which belong to another service."""
        self.counts.clear()
        self.next_at = float("-inf")

    def max_count(self):
        """Return the highest count in the window that ends now; at least 1."""
        return max((count for _, count in self.counts), default=1)

    def update(self, service, window_s):
        """Count the daemons; due after `next_at`."""
        at = self.clock()
        self.next_at = at + COUNT_INTERVAL_SECONDS
        self.counts.append((at, max(1, self.sharers(service))))
        # A count is valid until the next one, so the last count before the
        # window may still be valid at the window's start.
        while at - self.counts[0][0] > window_s + COUNT_INTERVAL_SECONDS:
            self.counts.popleft()
