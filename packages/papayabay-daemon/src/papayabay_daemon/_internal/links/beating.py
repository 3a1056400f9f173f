"""Looks at all links of a daemon at once for silence and due heartbeats."""

import asyncio

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.silence import SilenceWatch


class Beats:
    """One task that looks at every open link, once per heartbeat period.

    A daemon has some seventy links, most of which owe nothing most of the
    time. With a task for each, a daemon woke up 350 times a second to find
    nothing to do.

    Parameters
    ----------
    timing : TimingSettings
    """

    def __init__(self, timing):
        self.timing = timing
        self.links = set()
        self.task = None

    def add(self, link):
        """Look at a link until its heart has ended."""
        self.links.add(link)
        link.heart.add_done_callback(lambda _: self.links.discard(link))
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self):
        """Look at all links, period by period, while there are any."""
        watch = SilenceWatch(self.timing, now())
        while self.links:
            await asyncio.sleep(watch.period)
            moment = now()
            for link in list(self.links):
                self.beat(link, watch, moment)
        self.task = None

    def beat(self, link, watch, moment):
        """Look at one link; a fault ends that link and no other."""
        if link.heart.done():
            return
        try:
            link.beat(watch, moment)
        except Exception as error:
            link.refuse(f"its heartbeat failed: {error!r:.200}")

    def close(self):
        """Look at nothing any more."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
