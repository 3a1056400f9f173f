"""Slowdown of the target's host, and time that passes at its speed."""

import logbook

REPORT_TTL_S = 0.5
"""Time for which a reported slowdown is used."""
SLOW = 1.5
"""Slowdown from which the host counts as slow."""
QUIET_S = 10.0
"""Time without a slow spell after which the next one is logged. Hosts that are
shared with others are slow for about 0.6 s every few seconds."""
log = logbook.Logger("papayabay.admission")


class HostSpeed:
    """A clock that runs slower while the target's host is slow.

    Durations on it are those that work takes at the host's usual speed. A host
    that slows down for a moment thus changes neither the mean service times
    nor the search for the best number of slots. Without reports, it shows the
    time itself.

    Attributes
    ----------
    enabled : bool
        Whether policy has reports applied.
    slow_spells : int
        Changes to a slowdown of `SLOW` or more.
    slowdown : float
        As last reported; 1 if that is too long ago.
    """

    def __init__(self, enabled=False):
        self.enabled = enabled
        self.slowdown = 1.0
        self.changed_at = self.changed_work = 0.0
        self.expires_at = float("inf")
        self.slow_spells = 0
        self.slow_at = float("-inf")

    def record(self, slowdown, now):
        """Apply a report; None if the answer states no slowdown."""
        if self.enabled and slowdown is not None:
            if slowdown != self.slowdown or now >= self.expires_at:
                self.set_slowdown(slowdown, now)
            if slowdown != 1.0:
                self.expires_at = now + REPORT_TTL_S

    def reconfigure(self, enabled, now):
        """Apply a changed policy."""
        self.enabled = enabled
        if not enabled:
            self.set_slowdown(1.0, now)

    def current(self, now):
        """Return the slowdown; 1 if none was reported recently."""
        if now >= self.expires_at:
            self.change(1.0, self.expires_at)
        return self.slowdown

    def work_time(self, now):
        """Return the seconds of work at usual speed until now."""
        if now >= self.expires_at:
            self.change(1.0, self.expires_at)
        return self.changed_work + (now - self.changed_at) / self.slowdown

    def set_slowdown(self, slowdown, now):
        """Run at another speed from now on."""
        if slowdown != self.current(now):
            self.change(slowdown, now)

    def change(self, slowdown, at):
        if slowdown >= SLOW:
            if self.slowdown < SLOW:
                self.begin_slow_spell(slowdown, at)
            self.slow_at = at
        self.changed_work += (at - self.changed_at) / self.slowdown
        self.changed_at = at
        self.slowdown = slowdown
        self.expires_at = float("inf")

    def begin_slow_spell(self, slowdown, at):
        """Count a spell, and log it unless the last one was just before."""
        self.slow_spells += 1
        if at - self.slow_at > QUIET_S:
            log.notice(
                "work on the target's host takes {:.1f} times as long as usual; "
                "correcting service times, reporting it to callers",
                slowdown,
            )
