"""Share of the calls that the target refuses although it has free slots."""

from collections import deque
from math import sqrt

SHARE_PERIODS = 5
"""Periods over which the share is measured."""
MAX_PERIODS = 20
"""The same while fewer than `MIN_CALLS` ended in `SHARE_PERIODS`."""
MIN_CALLS = 20
"""Calls that must have ended before a share is known."""
ACCEPTED_CALLS = 15
"""Calls without a refusal that show that refusals have ended. At a share of
0.3, one such row in 200 is by chance."""
DEVIATIONS = 2.0
"""Standard deviations by which the share of one period may be by chance."""


class Rejections:
    """Counts ended and refused calls in periods of equal length."""

    def __init__(self):
        self.ended = self.rejected = 0
        self.periods = deque(maxlen=MAX_PERIODS)

    def record(self, rejected):
        """Count a call that the target answered or refused."""
        self.ended += 1
        self.rejected += rejected

    def end_period(self):
        """Start the counts of the next period."""
        self.periods.append((self.ended, self.rejected))
        self.ended = self.rejected = 0

    def share(self):
        """Return the share of refused calls; 0 if too few have ended.

        A share that is higher in the latest period, and not by chance, counts
        at once: the calls in flight when refusals begin would spend a third
        of the budget before the mean shows them.
        """
        ended = rejected = 0
        latest = 0.0
        for number, counts in enumerate(reversed(self.periods)):
            if number >= SHARE_PERIODS and ended >= MIN_CALLS:
                break
            ended += counts[0]
            rejected += counts[1]
            if not number and ended >= MIN_CALLS:
                latest = lower_bound(rejected / ended, ended)
            if not rejected and ended >= ACCEPTED_CALLS:
                return 0.0
        return max(latest, rejected / ended) if ended >= MIN_CALLS else 0.0


def lower_bound(share, count):
    """Return the least share that a measured share of some calls shows."""
    return share - DEVIATIONS * sqrt(share * (1.0 - share) / count)
