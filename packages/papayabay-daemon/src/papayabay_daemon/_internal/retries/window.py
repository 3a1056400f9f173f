"""Repeats of one service in a sliding window, within a part of a budget."""

from collections import deque
from dataclasses import dataclass
from itertools import accumulate, islice

from papayabay_core.importance import Importance

SLICES = 20
"""Parts that a window is counted in. A window may begin anywhere in its first
slice, so that up to a twentieth more repeats are counted than it has."""
EARNED_EACH_TIME = 0.5
"""Of the ratio, what a first attempt earns in the windows that began before it
and in those that begin within a window after it. A half for each lets a
process spend half a window's budget at once, and grants half the ratio from
the first call of a new one; more for the former would leave less to a trouble
that has just begun, more for the latter less to a process that has."""
SPARE_SHARE = 0.1
"""Part of the budget that is left unused: for daemons that know a member fewer
or more than others do, and for calls of repeated runs that can't be told from
others, as their run was begun through an earlier process."""
CLASS_SHARES = {
    Importance.CRITICAL: 1.0,
    Importance.NORMAL: 0.9,
    Importance.SHEDDABLE: 0.8,
}
"""Part of the budget that each class may use up, so that critical calls that
come when all of it was wanted by others find some."""
PACE_SLICES = 4
"""Slices over which lesser classes are kept to the pace at which the budget
comes back: two seconds of ten, long enough for one of ten repeats a window."""


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
    """First attempts and repeats of one service that reach one target.

    All daemons together may let a share of a service's requests be repeated
    in any window, and so many repeats more; the requests are those of the
    window or of the one before it. Each daemon keeps to an equal part of the
    latter, and in every window, whenever it began, to that share of the mean
    of its first attempts in the window and in the one before.

    The mean is no more than the larger of both, and only adds up what arrived.
    So the parts of all daemons are together no more than the whole, wherever
    the load goes, and so are those of a process and its successors. Were each
    let spend all that the last window earned, what one had saved up could be
    spent, forgotten when it is killed, and earned anew by the next: half as
    much again as the budget, when all start anew in an overload. A bucket as
    large as a window's budget would do the same without any restart.

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

    def give_back(self):
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
        """Return the repeats that need no first attempts to earn them.

        None for the length of a window after the start: what a new process
        lets through comes on top of what the one before it did, and it doesn't
        know yet how many others there are.
        """
        if self.clock() - self.begun_at < self.window_s:
            return 0.0
        return retries.window_repeats / max(1, members)

    def outpaces(self, allowed):
        """Return whether the budget is used up faster than it comes back.

        When all upstreams of a service fail, the many calls of the least
        class would spend the budget of a whole window within a second, each
        on a request that still fails: one that makes eight calls, half of
        which are turned away, needs eight repeats to end well. Critical calls
        that repeat use up this pace by themselves, and lesser ones then stand
        back; while none do, nothing is left idle for them.

        Parameters
        ----------
        allowed : float
            Repeats in the whole window that ends now.
        """
        latest = self.pending + sum(islice(reversed(self.repeats), PACE_SLICES))
        return latest + 1 > max(1.0, allowed * PACE_SLICES / SLICES)
