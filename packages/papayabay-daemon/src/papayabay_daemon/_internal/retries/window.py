"""Retries of one service in a sliding window, within a part of a budget."""

from collections import deque
from dataclasses import dataclass
from itertools import accumulate, islice

from papayabay_core.importance import Importance

SLICES = 20
"""Slices that a window is counted in. A window may begin anywhere in its first
slice, so that retries are rather counted too long than too short."""
EARNED_EACH_TIME = 0.5
"""Part of the ratio that a first attempt earns in the windows that began
before it, and in those that begin within a window after it. A half for each
lets a process spend half a window's budget at once, and a new one earn half
the ratio from its first call."""
SPARE_SHARE = 0.1
"""Part of the budget that is left unused, for daemons whose views of the
members differ, and for calls of retried runs that were begun through an
earlier process and can't be recognized."""
CLASS_SHARES = {
    Importance.CRITICAL: 1.0,
    Importance.NORMAL: 0.9,
    Importance.SHEDDABLE: 0.8,
}
"""Part of the budget that each class may use, so that some is left for
critical calls."""
PACE_SLICES = 4
"""Slices over which lesser classes are held to the rate at which the budget is
replenished."""


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """How a daemon's part of a budget stands in one window.

    Attributes
    ----------
    repeats : int
        Let through since the window began.
    allowed : float
        Repeats that the part amounts to in it.
    firsts : int
        First attempts that it is reckoned by: in the window and in the one
        before it.
    sharers : int
        Daemons that the fixed part of the budget is divided by.
    age_s : float
        Seconds since the account began.
    """

    repeats: int
    allowed: float
    firsts: int
    sharers: int
    age_s: float


class RepeatWindow:
    """First attempts and retries of one service that reach one target.

    In any window, all daemons together may let a share of a service's requests
    be retried, and a fixed number more; the requests are those of the window
    or of the one before it. Each daemon keeps to an equal part of the fixed
    number, and to that share of the mean of its first attempts in the window
    and in the one before. The mean is no more than the larger of both and is
    additive, so that the parts of all daemons, and of a process and its
    successors, never exceed the whole.

    Parameters
    ----------
    clock : callable
        Seconds.
    window_s : float
        Seconds that the budget is for.

    Attributes
    ----------
    pending : int
        Repeats that were let through and have not reached the target. They
        count in every window, as they may arrive in any.
    """

    def __init__(self, clock, window_s):
        self.clock = clock
        self.window_s = window_s
        self.begun_at = clock()
        self.number = self.slice_number()
        self.firsts = deque([0] * (2 * SLICES), 2 * SLICES)
        self.repeats = deque([0] * (SLICES + 1), SLICES + 1)
        self.pending = 0

    def slice_number(self):
        """Return the number of the slice of now."""
        return int(self.clock() * SLICES / self.window_s)

    def advance(self):
        """Begin the slice of now where it is another one."""
        number = self.slice_number()
        passed = [0] * min(number - self.number, 2 * SLICES)
        self.number = number
        self.firsts.extend(passed)
        self.repeats.extend(passed)

    def first_arrived(self):
        """Note a first attempt that has reached the target."""
        self.advance()
        self.firsts[-1] += 1

    def first_missed(self):
        """Take back a first attempt that has not reached the target after all.

        Every window that now belongs to ends now, so that the slice of now is
        in each that the attempt was counted in.
        """
        self.advance()
        self.firsts[-1] -= 1

    def repeat_arrived(self):
        """Note that a repeat that was let through has reached the target."""
        self.advance()
        self.pending -= 1
        self.repeats[-1] += 1

    def release(self):
        """Note that a repeat that was let through won't reach the target."""
        self.pending -= 1

    def allow(self, retries, members, importance=Importance.CRITICAL):
        """Return whether one more repeat fits; it is pending if so.

        Parameters
        ----------
        retries : Retries
            With a `window_ms`.
        members : int
            Daemons that share the budget.
        importance : Importance
            Less important calls may not spend all of it.
        """
        share = CLASS_SHARES[importance]
        windows = self.windows(retries, members)
        if min(share * allowed - repeats for repeats, allowed, _ in windows) < 1.0:
            return False
        _, allowed, _ = windows[-1]
        if importance is not Importance.CRITICAL and self.outpaces(allowed):
            return False
        self.pending += 1
        return True

    def tightest(self, retries, members):
        """Return how the budget stands in the window with the least room.

        Returns
        -------
        BudgetUse
        """
        windows = self.windows(retries, members)
        tightest = min(windows, key=lambda window: window[1] - window[0])
        return BudgetUse(*tightest, members, self.clock() - self.begun_at)

    def windows(self, retries, members):
        """Return how the budget stands in each window that now belongs to.

        Plain tuples, as it is asked for each repeat, also for those refused:
        a busy daemon sees a thousand a second in an overload.

        Parameters
        ----------
        retries : Retries
        members : int
            Daemons that share the budget.

        Returns
        -------
        list of tuple
            Repeats since the window began, repeats allowed in it, and first
            attempts that it is reckoned by: those of its own slices and of a
            window before them. From the window that begins now to the one
            that began in the slice before the last whole window.
        """
        self.advance()
        used = 1.0 - SPARE_SHARE
        earned = used * EARNED_EACH_TIME * retries.ratio
        fixed = used * self.fixed_part(retries, members)
        repeats = accumulate(reversed(self.repeats))
        firsts = islice(accumulate(reversed(self.firsts)), SLICES - 1, None)
        return [
            (self.pending + since, earned * reckoned + fixed, reckoned)
            for since, reckoned in zip(repeats, firsts, strict=True)
        ]

    def fixed_part(self, retries, members):
        """Return the retries that need no first attempts to earn them.

        None for the length of a window after the start: the process before
        may have spent them.
        """
        if self.clock() - self.begun_at < self.window_s:
            return 0.0
        return retries.window_repeats / max(1, members)

    def outpaces(self, allowed):
        """Return whether the budget is used faster than it is replenished.

        When all upstreams of a service fail, the many calls of the least
        class could otherwise spend a whole window's budget within a second.

        Parameters
        ----------
        allowed : float
            Repeats in the whole window that ends now.
        """
        latest = self.pending + sum(islice(reversed(self.repeats), PACE_SLICES))
        return latest + 1 > max(1.0, allowed * PACE_SLICES / SLICES)
