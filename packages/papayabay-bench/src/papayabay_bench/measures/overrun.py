"""Calls that targets got beyond the rate that they had named."""

from bisect import bisect_left
from collections import defaultdict

WINDOW_SECONDS = 4.0
SLACK_CALLS = 5
RATE_FACTOR = 1.5
"""What a target gets in a window may be so many times its rate, and the slack
beyond that."""


def overrun(executions, rate, window):
    """Return the most calls of one target beyond what its rate allows.

    Parameters
    ----------
    executions : list of Execution
        Of targets that name the rate.
    rate : float
        Calls per second.
    window : Window
        Arrivals outside it are left out.

    Returns
    -------
    float
        0 or less when no target got more than is allowed.
    """
    arrivals = defaultdict(list)
    for execution in executions:
        arrived = execution.time - (execution.queued_ms + execution.busy_ms) / 1_000
        if window.holds(arrived):
            arrivals[execution.target].append(arrived)
    allowed = RATE_FACTOR * rate * WINDOW_SECONDS + SLACK_CALLS
    counts = [most_in_window(sorted(times)) for times in arrivals.values()]
    return max(counts, default=0) - allowed


def most_in_window(times):
    """Return the most of some sorted times within any window."""
    ends = (bisect_left(times, moment + WINDOW_SECONDS) for moment in times)
    return max(end - begin for begin, end in enumerate(ends))
