"""Detects that this process was suspended, to refuse stale requests."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.ticker import Ticker

TICK_INTERVAL_SECONDS = 0.2
"""As long as the usual period of the link checks, with which a tick shares its
wake-up. Requests tick too, so only an idle daemon depends on this interval."""
MIN_PAUSE_SECONDS = 1.0
"""Time without a tick that counts as a pause."""
REFUSE_AFTER_RESUME_SECONDS = 0.1
"""Time after a pause in which requests are refused."""


class PauseDetector:
    """Refuses requests that may have waited while this process was suspended.

    Requests that arrive while the VM is suspended or the process is stopped
    wait in the socket buffers and carry no timestamp. Given a new lifetime
    when they are read, they would run long after their callers gave up and
    waste the target's work unnoticed. So all requests read shortly after a
    pause are refused with the effect `not run`.

    Parameters
    ----------
    clock : callable
        Returns seconds; has to count the time in which the VM is suspended.
    ticker : Ticker or None
        Time base of the ticks; None for an own one.
    """

    def __init__(self, clock=now, ticker=None):
        self.clock = clock
        self.ticker = ticker or Ticker()
        self.last_tick_at = clock()
        self.resumed_at = float("-inf")

    async def run(self):
        """Tick until cancelled."""
        while True:
            self.tick()
            await self.ticker.sleep(TICK_INTERVAL_SECONDS)

    def tick(self):
        """Record that the process runs, detect a pause, return the time."""
        current = self.clock()
        if current - self.last_tick_at > MIN_PAUSE_SECONDS:
            self.resumed_at = current
        self.last_tick_at = current
        return current

    def check(self):
        """Refuse a request that may have been waiting during a pause.

        After a pause either the periodic tick or a request may run first, so
        this method ticks as well.

        Raises
        ------
        CallError
            EXPIRED_UNSENT, shortly after a pause.
        """
        if self.tick() - self.resumed_at < REFUSE_AFTER_RESUME_SECONDS:
            raise CallError(ErrorKind.EXPIRED_UNSENT, "this daemon was paused")
