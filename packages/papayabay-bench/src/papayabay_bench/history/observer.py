"""Asks every daemon again and again what it has in force."""

import asyncio

import aiohttp

from papayabay_bench.history.records import Document, Sample
from papayabay_core.utils.clock import now

PERIOD = 0.08
SAMPLE_SECONDS = 0.5
FAULTS = (aiohttp.ClientError, TimeoutError, OSError)


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
        """Sample one daemon until cancelled; it may be away at times."""
        while True:
            await self.sample(daemon)
            await asyncio.sleep(PERIOD)

    async def sample(self, daemon):
        """Sample a daemon once; nothing is recorded without an answer."""
        life = self.fleet.daemons[daemon].process.pid
        asked = now()
        try:
            async with asyncio.timeout(SAMPLE_SECONDS):
                page = await self.fleet.status(daemon)
        except FAULTS:
            return
        if self.fleet.daemons[daemon].process.pid != life:
            return
        self.recorder.add(sample_of(daemon, life, page, asked))

    async def record_documents(self):
        """Record the values that each daemon has in force."""
        for daemon in self.fleet.daemons:
            url = self.fleet.listener_url(daemon, "status_port") + "/policy"
            page = await self.fleet.exchange("GET", url)
            self.recorder.add(Document(daemon, page["version"], page["values"], now()))


def sample_of(daemon, life, page, asked):
    """Return the sample of a status page.

    Refusals made for a service below say nothing of this daemon's own
    order: a call that needs no such service may pass. They aren't counted
    by class, so all of them are left out, and the count may be too low.
    """
    admission = page["admission"]
    refused = admission["refused"].get("critical/overloaded", 0)
    return Sample(
        daemon=daemon,
        life=life,
        version=page["configuration"]["version"],
        critical_refused=refused - admission["downstream_refused"],
        sheddable_admitted=admission["admitted"].get("sheddable", 0),
        asked=asked,
        time=now(),
    )
