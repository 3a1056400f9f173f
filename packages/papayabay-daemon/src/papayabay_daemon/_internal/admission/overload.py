"""Logs when an overload of the target begins and ends."""

import asyncio

import logbook

from papayabay_core.importance import Importance

QUIET_SECONDS = 5.0
log = logbook.Logger("papayabay.admission")


class OverloadLog:
    """Logs the first refusal of an overload, and the end of the overload.

    A target that is close to saturation can start and stop refusing calls
    many times a second. An overload counts as ended after `QUIET_SECONDS`
    without a refusal, so that at most two lines are logged in that time.

    Parameters
    ----------
    clock : callable
        Returns seconds, on the clock of the times given to `refused`.
    """

    def __init__(self, clock):
        self.clock = clock
        self.began_at = None
        self.refused_at = 0.0
        self.counts = dict.fromkeys(Importance, 0)
        self.timer = None

    def refused(self, importance, now):
        """Record a refusal for overload; log the first one."""
        self.refused_at = now
        self.counts[importance] += 1
        if self.began_at is None:
            self.began_at = now
            log.notice("overload begins: a {} call was refused", class_name(importance))
            self.schedule_end_check(QUIET_SECONDS)

    def schedule_end_check(self, delay_s):
        """Check after a delay, in seconds, whether the overload has ended."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(delay_s, self.end_if_quiet)

    def end_if_quiet(self):
        """Log the end of the overload, or check again later."""
        remaining_s = self.refused_at + QUIET_SECONDS - self.clock()
        if remaining_s > 0:
            self.schedule_end_check(remaining_s)
            return
        duration_s = self.refused_at - self.began_at
        counts = ", ".join(
            f"{count} {class_name(importance)}"
            for importance, count in self.counts.items()
        )
        self.close()
        log.notice("overload ended after {:.1f} s; refused: {}", duration_s, counts)

    def close(self):
        """Stop the timer and reset the counts."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.began_at = None
        self.counts = dict.fromkeys(Importance, 0)


def class_name(importance):
    """Return the name of a class as in policies."""
    return importance.name.lower()
