"""Counts calls in a sliding window, and limits retries to a budget."""

from collections import deque
from dataclasses import dataclass
from itertools import accumulate, islice

from papayabay_core.importance import Importance

CRITICAL = Importance.CRITICAL
SLICES = 20
"""Slices per window. A window may begin anywhere in its first slice, which is
counted as a whole: retries may count for too long, but not too short."""
EARNED_SHARE = 0.5
"""Part of the ratio that a first attempt earns in the windows that began
before it, and in those that begin within a window after it. With one half for
each, a process may spend half a window's budget at once, and a new process
earns half the ratio from its first call."""
MARGIN_SHARE = 0.1
"""Part of the budget that is left unused. It covers daemons whose views of the
membership differ, and calls of retried runs that were started through an
earlier process and can't be recognized."""
CLASS_SHARES = {
    Importance.CRITICAL: 1.0,
    Importance.NORMAL: 0.9,
    Importance.SHEDDABLE: 0.8,
}
"""Part of the budget that each class may use, so that some is left for
critical calls."""
PACING_SLICES = 4
"""Slices over which classes other than critical are limited to the rate at
which the budget is replenished."""

RATE_HORIZON_SHARE = 0.4
"""Part of the window in which an unused budget may be spent, if all calls that
need retries get them. Random refusals last for some seconds."""


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """Use of a daemon's share of a budget in one window.

    Attributes
    ----------
    repeats : int
        Retries admitted since the window began.
    allowed : float
        Retries that the share allows in the window.
    firsts : int
        First attempts that earned these: those in the window and in the one
        before it.
    sharers : int
        Daemons that the fixed part of the budget is divided among.
    age_s : float
        Seconds since counting began.
    """

    repeats: int
    allowed: float
    firsts: int
    sharers: int
    age_s: float


class BudgetWindow:
    """First attempts and retries of one service that reach one target.

    The budget bounds the retries that all daemons together admit in any
    window: a share of the service's requests, and a fixed number more. The
    requests are those of the window or of the one before it, whichever are
    more. Each daemon admits an equal part of the fixed number, and the share
    of the mean of its first attempts in the window and in the one before. The
    mean never exceeds the larger of the two, and means add up, so the shares
    of all daemons, and of a process and its successors, never exceed the
    budget.

    Parameters
    ----------
    clock : callable
        Seconds.
    window_s : float
        Length of the budget's window, seconds.

    Attributes
    ----------
    pending : int
        Retries that were admitted and have not reached the target. They count
        in every window, as they may arrive in any.
    """

    def __init__(self, clock, window_s):
        self.clock = clock
        self.window_s = window_s
        self.started_at = clock()
        self.current_slice = int(self.started_at * SLICES / window_s)
        self.first_counts = deque([0] * (2 * SLICES), 2 * SLICES)
        self.retry_counts = deque([0] * (SLICES + 1), SLICES + 1)
        self.pending = 0

    def advance(self):
        """Start new slices up to the present time."""
        number = int(self.clock() * SLICES / self.window_s)
        if number == self.current_slice:
            return
        empty = [0] * min(number - self.current_slice, 2 * SLICES)
        self.current_slice = number
        self.first_counts.extend(empty)
        self.retry_counts.extend(empty)

    def record_first_attempt(self):
        """Count a first attempt that is forwarded to the target."""
        if int(self.clock() * SLICES / self.window_s) != self.current_slice:
            self.advance()
        self.first_counts[-1] += 1

    def undo_first_attempt(self):
        """Uncount a first attempt that did not reach the target after all.

        It may have been counted in an earlier slice. All windows that are
        checked end with the current slice, so a decrement there corrects each
        of them.
        """
        self.advance()
        self.first_counts[-1] -= 1

    def record_retry(self):
        """Count a pending retry that is forwarded to the target."""
        self.advance()
        self.pending -= 1
        self.retry_counts[-1] += 1

    def release(self):
        """Release a pending retry that won't reach the target."""
        self.pending -= 1

    def try_reserve(self, retries, sharers, importance=CRITICAL, paced=True):
        """Reserve a retry; return False if the budget is exhausted.

        A reserved retry is pending until it is recorded or released.

        Parameters
        ----------
        retries : Retries
            Policy with a `window_ms`.
        sharers : int
            Daemons that share the budget.
        importance : Importance
            Classes other than critical may use only a part of the budget.
        paced : bool
            Whether these classes are limited to the rate at which the budget
            is replenished.
        """
        share = CLASS_SHARES[importance]
        windows = self.windows(retries, sharers)
        if min(share * allowed - used for used, allowed, _ in windows) < 1.0:
            return False
        _, allowed, _ = windows[-1]
        paced &= importance is not CRITICAL
        if paced and self.exceeds_pace(allowed):
            return False
        self.pending += 1
        return True

    def tightest(self, retries, sharers):
        """Return the use of the window with the least budget left.

        Returns
        -------
        BudgetUse
        """
        windows = self.windows(retries, sharers)
        tightest = min(windows, key=lambda window: window[1] - window[0])
        return BudgetUse(*tightest, sharers, self.clock() - self.started_at)

    def windows(self, retries, sharers):
        """Return the use of the budget in each window that contains now.

        Returns plain tuples, because this runs for each retry, also for those
        refused: a busy daemon sees a thousand a second in an overload.

        Parameters
        ----------
        retries : Retries
        sharers : int
            Daemons that share the budget.

        Returns
        -------
        list of tuple
            Retries since the window began, retries allowed in it, and the
            first attempts that earned them: those in its own slices and in a
            window before them. Ordered from the window that begins in the
            current slice to the one that began `SLICES` slices earlier.
        """
        self.advance()
        usable = 1.0 - MARGIN_SHARE
        earned = usable * EARNED_SHARE * retries.ratio
        fixed = usable * self.fixed_part(retries, sharers)
        retry_sums = accumulate(reversed(self.retry_counts))
        first_sums = islice(accumulate(reversed(self.first_counts)), SLICES - 1, None)
        return [
            (self.pending + used, earned * firsts + fixed, firsts)
            for used, firsts in zip(retry_sums, first_sums, strict=True)
        ]

    def retry_rate(self, retries, sharers, importance):
        """Return the retries per second that the budget has left for a class.

        It is the highest rate that does not exhaust the budget at any time
        within the next `RATE_HORIZON_SHARE` of the window. An unused budget is
        spent within about half a window, and a budget in steady use at the
        rate at which retries leave the window.

        Parameters
        ----------
        retries : Retries
        sharers : int
        importance : Importance
        """
        share = CLASS_SHARES[importance]
        windows = self.windows(retries, sharers)
        left = min(share * allowed - used for used, allowed, _ in windows)
        slices = int(RATE_HORIZON_SHARE * SLICES)
        leaving = accumulate(islice(self.retry_counts, 1, slices), initial=0)
        per_slice = min(
            (left + count) / number for number, count in enumerate(leaving, start=1)
        )
        return max(0.0, per_slice) * SLICES / self.window_s

    def fixed_part(self, retries, sharers):
        """Return the retries that no first attempts need to earn.

        0 for the length of a window after the start: the previous process may
        already have spent them.
        """
        if self.clock() - self.started_at < self.window_s:
            return 0.0
        return retries.window_repeats / max(1, sharers)

    def exceeds_pace(self, allowed):
        """Return whether retries come faster than the budget is replenished.

        When all upstreams of a service fail, the calls of the least important
        class are so many that they would spend a window's budget in a second.

        Parameters
        ----------
        allowed : float
            Retries allowed in the whole window that ends now.
        """
        recent = self.pending + sum(islice(reversed(self.retry_counts), PACING_SLICES))
        return recent + 1 > max(1.0, allowed * PACING_SLICES / SLICES)
