"""Polls the daemons' status pages and records samples of them."""

import asyncio

import aiohttp

from papayabay_bench.history.records import Document, Sample
from papayabay_core.utils.clock import now

SAMPLE_PERIOD_SECONDS = 0.08
SAMPLE_TIMEOUT_SECONDS = 0.5
SAMPLE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class Observer:
    """Samples the daemons of a fleet.

    Parameters
    ----------
    fleet : Fleet
    recorder : Recorder
    """

    def __init__(self, fleet, recorder):
        self.fleet = fleet
        self.recorder = recorder

    async def watch(self, daemon):
        """Sample one daemon until cancelled, also while it is restarted."""
        while True:
            await self.sample(daemon)
            await asyncio.sleep(SAMPLE_PERIOD_SECONDS)

    async def sample(self, daemon):
        """Record a sample of a daemon, if it answers.

        Nothing is recorded when the process was replaced in the meantime,
        since the answer could come from either process.
        """
        pid = self.fleet.daemons[daemon].process.pid
        requested_at = now()
        try:
            async with asyncio.timeout(SAMPLE_TIMEOUT_SECONDS):
                page = await self.fleet.status(daemon)
        except SAMPLE_ERRORS:
            return
        if self.fleet.daemons[daemon].process.pid != pid:
            return
        self.recorder.add(sample_of(daemon, pid, page, requested_at))

    async def record_documents(self):
        """Record the policy values that each daemon has in force."""
        for daemon in self.fleet.daemons:
            url = self.fleet.listener_url(daemon, "status_port") + "/policy"
            page = await self.fleet.exchange("GET", url)
            self.recorder.add(Document(daemon, page["version"], page["values"], now()))


def sample_of(daemon, pid, page, requested_at):
    """Return the sample of a status page."""
    admission = page["admission"]
    return Sample(
        daemon=daemon,
        life=pid,
        version=page["configuration"]["version"],
        inversions=admission["inversions"],
        idle_refusals=admission["idle_refusals"],
        asked=requested_at,
        time=now(),
    )
