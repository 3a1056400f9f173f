"""Periodic liveness check of all open links of a daemon."""

import asyncio

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.liveness import LivenessDetector
from papayabay_daemon._internal.ticker import Ticker


class HeartbeatLoop:
    """One task that checks every open link once per heartbeat period.

    A daemon has about seventy links, and most of them are idle most of the
    time. With one task per link, a daemon woke up 350 times a second with
    nothing to do.

    Parameters
    ----------
    timing : TimingSettings

    Attributes
    ----------
    ticker : Ticker
        Time base of the checks, for other periodic tasks to share.
    """

    def __init__(self, timing):
        self.timing = timing
        self.ticker = Ticker()
        self.links = set()
        self.task = None

    def add(self, link):
        """Check a link until its `heartbeats_ended` future is done."""
        self.links.add(link)
        link.heartbeats_ended.add_done_callback(lambda _: self.links.discard(link))
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self):
        """Check all links once per period while there are any."""
        detector = LivenessDetector(self.timing, now())
        while self.links:
            await self.ticker.sleep(detector.period)
            moment = now()
            for link in list(self.links):
                if link.heartbeats_ended.done():
                    continue
                try:
                    link.check_liveness(detector, moment)
                except Exception as error:
                    # Only this link is closed.
                    link.reject(f"its heartbeat failed: {error!r:.200}")
        self.task = None

    def close(self):
        """Stop checking."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
