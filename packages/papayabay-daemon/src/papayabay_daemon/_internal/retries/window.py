"""Repeats of one service in a sliding window, within a share of a budget."""

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
    Importance.NORMAL: 0.5,
    Importance.SHEDDABLE: 0.2,
}
"""Part of the budget that each class may use up. When all upstreams of a
service fail, the many calls of the least class would else spend it all, each
on a request that still fails: one that makes eight calls, half of which are
turned away, needs eight repeats to end well."""


@dataclass(slots=True)
class Slice:
    """What was counted in one part of the window."""

    number: int
    firsts: int = 0
    repeats: int = 0


class RepeatWindow:
    """First attempts and repeats of one service at this daemon.

    All daemons together may repeat a share of the first attempts in any
    window, and so many times more. Each keeps to that share of its own first
    attempts and an equal part of the rest, which adds up under any load and
    needs no message. A bucket would not do: it lets through, in one window,
    what it has saved in earlier ones.

    Parameters
    ----------
    clock : callable
        Seconds.
    """

    def __init__(self, clock):
        self.clock = clock
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

    def repeated(self, retries):
        """Note a repeat that nobody here decided on."""
        self.current(retries.window_ms / 1_000).repeats += 1

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
        current = self.current(retries.window_ms / 1_000)
        # The oldest slice may lie before the window. Its repeats count all the
        # same and its first attempts don't: what is allowed errs downwards.
        oldest = current.number - SLICES
        firsts = sum(part.firsts for part in self.slices if part.number > oldest)
        repeats = sum(part.repeats for part in self.slices)
        budget = retries.ratio * firsts + retries.window_repeats / max(1, members)
        if repeats + 1 > (1.0 - SPARE_SHARE) * CLASS_SHARES[importance] * budget:
            return False
        current.repeats += 1
        return True
