"""Which calls can be expected to end before this daemon stops."""

from bisect import bisect_left
from itertools import accumulate

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now

WINDOW_SECONDS = 10.0
"""Durations count for one to two windows."""
FIRST_BOUND_S = 0.01
BOUND_RATIO = 1.25
BOUNDS_S = tuple(FIRST_BOUND_S * BOUND_RATIO**power for power in range(40))
"""Upper bounds of the duration buckets; the last one is about a minute."""
MAX_PATHS = 512
LATE_SHARE = 0.2
"""Share of an idempotent path's calls that may last longer than there is time
left, before the next ones are sent elsewhere."""
LATE_SHARE_ONCE = 0.05
"""The same for calls that may run only once, which can't be repeated. Most of
the callers that are turned away would have been served in time."""


class RecentDurations:
    """Distribution of the durations of recent calls, by path.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.current = {}
        self.previous = {}
        self.rotates_at = clock() + WINDOW_SECONDS

    def record(self, path_key, elapsed):
        """Record the duration of a call in seconds."""
        if self.clock() >= self.rotates_at:
            self.rotate()
        counts = self.current.get(path_key)
        if counts is None:
            if len(self.current) >= MAX_PATHS:
                return
            counts = self.current[path_key] = [0] * (len(BOUNDS_S) + 1)
        counts[bisect_left(BOUNDS_S, elapsed)] += 1

    def rotate(self):
        """Start a new window; drop the last one but one."""
        at = self.clock()
        is_recent = at < self.rotates_at + WINDOW_SECONDS
        self.previous = self.current if is_recent else {}
        self.current = {}
        self.rotates_at = at + WINDOW_SECONDS

    def exceeded_by(self, path_key, share):
        """Return a duration that at most a share of recent calls exceeded.

        Returns
        -------
        float
            Seconds; 0 if no call of the path is known.
        """
        if self.clock() >= self.rotates_at:
            self.rotate()
        windows = [
            window[path_key]
            for window in (self.previous, self.current)
            if path_key in window
        ]
        if not windows:
            return 0.0
        counts = [sum(bucket) for bucket in zip(*windows, strict=True)]
        needed = sum(counts) * (1.0 - share)
        within = accumulate(counts)
        bucket = next(index for index, count in enumerate(within) if count >= needed)
        return BOUNDS_S[min(bucket, len(BOUNDS_S) - 1)]


class StopHorizon:
    """Refuses calls that are not expected to end before this daemon stops.

    Parameters
    ----------
    clock : callable
        Returns seconds.

    Attributes
    ----------
    ends_at : float or None
        When calls in progress are cut off; None while this daemon is not
        stopping.
    durations : RecentDurations
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.ends_at = None
        self.durations = RecentDurations(clock)

    def begin(self, seconds):
        """Record that calls are cut off after some seconds."""
        self.ends_at = self.clock() + seconds

    def check(self, path_key, idempotent, lifetime):
        """Raise `CallError` (LEAVING) for a call that is likely to be cut off.

        Not begun, it can still run elsewhere.

        Parameters
        ----------
        path_key : str
        idempotent : bool
        lifetime : float
            Seconds until the call's deadline.
        """
        if self.ends_at is None:
            return
        share = LATE_SHARE if idempotent else LATE_SHARE_ONCE
        left = self.ends_at - self.clock()
        if min(self.durations.exceeded_by(path_key, share), lifetime) > left:
            raise CallError(ErrorKind.LEAVING, "too little time before the stop")
