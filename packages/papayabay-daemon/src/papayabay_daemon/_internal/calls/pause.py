"""Notices that this process was stopped, and what that means for requests."""

import asyncio

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now

TICK_SECONDS = 0.1
PAUSE_SECONDS = 1.0
UNREAD_SECONDS = 0.1


class PauseDetector:
    """Tells requests that waited unread while this process was stopped.

    A VM that is suspended, or a process that is stopped, goes on where it
    was. Requests that came meanwhile lie in the sockets and carry no time of
    their own: taken up with a fresh life, they run long after their callers
    gave up, which nobody would notice but in the target's work. What is read
    right after a pause is therefore refused, `not run`.

    Parameters
    ----------
    clock : callable
        Seconds, counting suspended time.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.ticked_at = clock()
        self.resumed_at = float("-inf")

    async def run(self):
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_SECONDS)

    def tick(self):
        """Note that the process runs."""
        moment = self.clock()
        if moment - self.ticked_at > PAUSE_SECONDS:
            self.resumed_at = moment
        self.ticked_at = moment

    def check(self):
        """Refuse what may have waited through a pause.

        Whether the tick or the request comes first after a pause is chance,
        so that each looks at the clock.

        Raises
        ------
        CallError
            EXPIRED_UNSENT.
        """
        self.tick()
        if self.clock() - self.resumed_at < UNREAD_SECONDS:
            raise CallError(ErrorKind.EXPIRED_UNSENT, "this daemon was paused")
