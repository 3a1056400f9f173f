"""Samples the daemons' status pages during a run."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import groupby, pairwise

import aiohttp

from papayabay_bench.fleet.fleet import ControlRefused
from papayabay_core.utils.clock import now

SAMPLE_PERIOD_SECONDS = 0.5
SAMPLE_ERRORS = (aiohttp.ClientError, ControlRefused, OSError, TimeoutError, KeyError)


@dataclass(slots=True)
class Sample:
    """The admission state of one daemon at one time.

    Attributes
    ----------
    service : str
        Service of the daemon's target; empty without one.
    admitted, refused : dict of str to int
        Calls since the daemon's start: admitted by class, and refused by
        class and error kind.
    inversions, idle_refusals : int
        Since the daemon's start; see `AdmissionCounters`.
    processor_s : float
        Processor time in seconds since the daemon's start.
    """

    time: float
    daemon: str
    service: str
    in_flight: int
    queued: int
    queue_ms: float
    processor_s: float
    admitted: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    inversions: int = 0
    idle_refusals: int = 0


class Sampler:
    """Polls the status pages of all running daemons.

    Parameters
    ----------
    fleet : Fleet
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.samples = []

    async def run(self):
        """Sample until cancelled."""
        while True:
            await asyncio.gather(*map(self.sample, list(self.fleet.daemons)))
            await asyncio.sleep(SAMPLE_PERIOD_SECONDS)

    async def sample(self, name):
        """Take one sample of a daemon, if it runs and answers in time."""
        if not self.fleet.daemons[name].running:
            return
        try:
            async with asyncio.timeout(SAMPLE_PERIOD_SECONDS):
                page = await self.fleet.status(name)
        except SAMPLE_ERRORS:
            return
        self.samples.append(read_sample(name, page))


def read_sample(name, page):
    """Return the sample of a status page."""
    admission = page["admission"]
    target = page["target"] or {}
    return Sample(
        time=now(),
        daemon=name,
        service=target.get("service", ""),
        in_flight=admission["in_flight"],
        queued=admission["queued"],
        queue_ms=admission["queue_ms"],
        processor_s=page["processor_s"],
        admitted=admission["admitted"],
        refused=admission["refused"],
        inversions=admission["inversions"],
        idle_refusals=admission["idle_refusals"],
    )


def consecutive(samples):
    """Yield all pairs of consecutive samples of the same daemon."""
    ordered = sorted(samples, key=lambda sample: (sample.daemon, sample.time))
    for _, group in groupby(ordered, key=lambda sample: sample.daemon):
        yield from pairwise(group)


def admission_counts(samples, window):
    """Count the calls that were admitted and refused during a window.

    Returns
    -------
    dict of str to dict of str to int
        Counts by service, then by class for admitted calls, and by class and
        error kind for refused ones.
    """
    counts_by_service = defaultdict(Counter)
    for before, after in consecutive(samples):
        if not (after.service and window.holds(before.time)):
            continue
        for name, count in (after.admitted | after.refused).items():
            previous = (before.admitted | before.refused).get(name, 0)
            counts_by_service[after.service][name] += max(0, count - previous)
    return {
        service: dict(counts) for service, counts in sorted(counts_by_service.items())
    }


def counter_increase(samples, window, counter):
    """Return the increase of an admission counter at all daemons."""
    return sum(
        max(0, getattr(after, counter) - getattr(before, counter))
        for before, after in consecutive(samples)
        if window.holds(before.time) and window.holds(after.time)
    )
