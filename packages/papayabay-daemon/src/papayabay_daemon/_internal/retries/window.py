"""Repeats of one service in a sliding window, within a part of a budget."""

from collections import deque
from dataclasses import dataclass

from papayabay_core.importance import Importance

SLICES = 20
"""Parts that a window is counted in; the oldest leaves whole, so that up to a
twentieth more than a window is looked back on."""
SPARE_SHARE = 0.1
"""Part of the budget that is left unused, for daemons that know a member
fewer or more than others do."""


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


@dataclass(slots=True)
class Slice:
    """What was counted in one part of the window."""

    number: int
    firsts: int = 0
    repeats: int = 0


@dataclass(frozen=True, slots=True)
class BudgetUse:
    """How a daemon's part of a budget stands.

    Attributes
    ----------
    repeats : int
        Let through in the window that ends now.
    allowed : float
        Repeats that the part amounts to in it.
    firsts : int
        First attempts in it that earned repeats.
    sharers : int
        Daemons that the fixed part of the budget was divided by.
    age_s : float
        Seconds since the account began.
    """

    repeats: int
    allowed: float
    firsts: int
    sharers: int
    age_s: float


class RepeatWindow:
    """First attempts and repeats of one service that come to this daemon.

    All daemons together may let a share of the first attempts be repeated in
    any window, and so many repeats more. Each keeps to that share of the first
    attempts that come to it and an equal part of the rest, which adds up under
    any load and needs no message. A bucket would not do: it lets through, in
    one window, what it has saved in earlier ones.

    Parameters
    ----------
    clock : callable
        Seconds.
    """

    def __init__(self, clock):
        self.clock = clock
        self.begun_at = clock()
        self.slices = deque()

    def current(self, window_s):
        """Return the slice of now, those that left the window dropped."""
        number = int(self.clock() / (window_s / SLICES))
        while self.slices and self.slices[0].number < number - SLICES:
            self.slices.popleft()
        if not self.slices or self.slices[-1].number != number:
            self.slices.append(Slice(number))
        return self.slices[-1]

    def first_attempt(self, retries):
        """Note a first attempt."""
        self.current(retries.window_ms / 1_000).firsts += 1

    def give_back(self):
        """Take the latest repeat off the account."""
        if self.slices:
            self.slices[-1].repeats -= 1

    def allow(self, retries, members, importance=Importance.CRITICAL):
        """Return whether one more repeat fits, and count it if so.

        Parameters
        ----------
        retries : Retries
            With a `window_ms`.
        members : int
            Daemons that share the budget.
        importance : Importance
            Less important calls may not spend all of it.
        """
        use = self.use(retries, members)
        if use.repeats + 1 > CLASS_SHARES[importance] * use.allowed:
            return False
        current = self.current(retries.window_ms / 1_000)
        critical = importance is Importance.CRITICAL
        if not critical and self.outpaces(current, use.allowed):
            return False
        current.repeats += 1
        return True

    def use(self, retries, members):
        """Return how much of the budget is used, and what that rests on.

        Returns
        -------
        BudgetUse
        """
        window_s = retries.window_ms / 1_000
        current = self.current(window_s)
        # The oldest slice may lie before the window. Its repeats count all the
        # same and its first attempts don't: what is allowed errs downwards.
        oldest = current.number - SLICES
        firsts = sum(part.firsts for part in self.slices if part.number > oldest)
        repeats = sum(part.repeats for part in self.slices)
        age_s = self.clock() - self.begun_at
        budget = retries.ratio * firsts
        # A process that has just started doesn't know what the one before it
        # let through, nor yet how many others there are.
        if age_s >= window_s:
            budget += retries.window_repeats / max(1, members)
        budget *= 1.0 - SPARE_SHARE
        return BudgetUse(repeats, budget, firsts, members, age_s)

    def outpaces(self, current, budget):
        """Return whether the budget is used up faster than it comes back.

        When all upstreams of a service fail, the many calls of the least
        class would spend the budget of a whole window within a second, each
        on a request that still fails: one that makes eight calls, half of
        which are turned away, needs eight repeats to end well. Critical calls
        that repeat use up this pace by themselves, and lesser ones then stand
        back; while none do, nothing is left idle for them.
        """
        since = current.number - PACE_SLICES
        latest = sum(part.repeats for part in self.slices if part.number > since)
        return latest + 1 > max(1.0, budget * PACE_SLICES / SLICES)
