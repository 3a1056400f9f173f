"""How fast a version spreads over real daemons, and what that takes."""

import asyncio
import time
from dataclasses import dataclass

from papayabay_bench.capacity.configuration import (
    commit_whole,
    small_change,
    store_counters,
)
from papayabay_bench.capacity.usage import usage_of
from papayabay_bench.fleet import Fleet, FleetPlan
from papayabay_bench.fleet.policy import CommitRefused
from papayabay_bench.fleet.settings import CLUSTER
from papayabay_cli.daemons import post_patch
from papayabay_core.configuration import CommitOutcome, ConfigurationLog, new_patch
from papayabay_core.platform import HttpObjectStore, HttpTableService

DOMAINS = 4
SERVICES = 10
LIVE_SECONDS = 60.0
SETTLE_SECONDS = 10.0
SPREAD_SECONDS = 30.0
QUIET_SECONDS = 3.0
COUNTS = ("pushes", "pulls")


@dataclass(slots=True)
class SpreadSample:
    """One number of daemons.

    Attributes
    ----------
    readers : int
        How many polled the store.
    reads : float
        Store reads per second of the whole fleet while quiet.
    memory, private : float
        Resident bytes of a daemon, the mean.
    processor : float
        Seconds per second of a daemon while quiet, the mean.
    gossip_bytes : float
        Sent and received per second by a daemon, the mean.
    up_seconds, cut_seconds : float
        From the commit until the last daemon had the version in force; the
        second with the store cut off right after the commit.
    up_median, cut_median : float
        The same until half of the daemons had it.
    pushes, pulls : float
        Per daemon and change.
    cold_reads : float
        Store reads of one daemon's start.
    """

    size: int
    readers: int = 0
    reads: float = 0.0
    memory: float = 0.0
    private: float = 0.0
    processor: float = 0.0
    gossip_bytes: float = 0.0
    up_seconds: float = 0.0
    up_median: float = 0.0
    cut_seconds: float = 0.0
    cut_median: float = 0.0
    pushes: float = 0.0
    pulls: float = 0.0
    cold_reads: float = 0.0


async def measure_spread(size, window):
    """Return the sample of a number of daemons."""
    plan = FleetPlan(
        services=[], entries=size, failure_domains=DOMAINS, ready_timeout=60.0
    )
    sample = SpreadSample(size)
    async with Fleet(plan) as fleet:
        await fleet.wait_members(LIVE_SECONDS)
        version = await commit_whole(fleet, SERVICES)
        await fleet.wait_version(version, LIVE_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        await measure_quiet(fleet, sample, window)
        before = await pages(fleet)
        spread = await spread_times(fleet, version, cut=False)
        sample.up_median, sample.up_seconds = spread
        spread = await spread_times(fleet, version + 1, cut=True)
        sample.cut_median, sample.cut_seconds = spread
        note_messages(sample, before, await pages(fleet))
        await fleet.platform_faults()
        sample.cold_reads = await cold_reads(fleet, sample)
    return sample


async def pages(fleet):
    """Return the status of all daemons."""
    return await asyncio.gather(*map(fleet.status, fleet.daemons))


async def measure_quiet(fleet, sample, window):
    """Measure the means over all daemons while nothing changes."""
    sample.readers = sum(p["configuration"]["reader"] for p in await pages(fleet))
    processes = [daemon.process.pid for daemon in fleet.daemons.values()]
    gossip = gossip_bytes(await pages(fleet))
    usages = [usage_of(pid) for pid in processes]
    reads, started = (await store_counters(fleet))["reads"], time.monotonic()
    await asyncio.sleep(window)
    seconds = time.monotonic() - started
    sample.reads = ((await store_counters(fleet))["reads"] - reads) / seconds
    after = [usage_of(pid) for pid in processes]
    per_daemon = sample.size * seconds
    used = total(after, "processor") - total(usages, "processor")
    sample.processor = used / per_daemon
    sample.memory = total(after, "memory") / sample.size
    sample.private = total(after, "private") / sample.size
    sample.gossip_bytes = (gossip_bytes(await pages(fleet)) - gossip) / per_daemon


def total(usages, name):
    """Return the sum of one field."""
    return sum(getattr(usage, name) for usage in usages)


def gossip_bytes(statuses):
    """Return the bytes of gossip of all daemons, both directions."""
    members = [page["members"] for page in statuses]
    return sum(page["bytes_sent"] + page["bytes_received"] for page in members)


async def spread_times(fleet, base, cut):
    """Commit a small patch; return when half and all had it in force.

    The patch is committed and handed to one daemon as the operators'
    command does it. The daemons' own notes of when a version came in force
    are compared with the end of the commit, so that asking them does not
    slow them.
    """
    patch = new_patch(base, small_change(base), "capacity")
    await commit(fleet, patch)
    committed_at = time.time()
    if cut:
        await fleet.platform_faults(down="unavailable")
    url = fleet.listener_url("entry-0", "status_port")
    await post_patch([url], patch, CLUSTER["secret"])
    await asyncio.sleep(QUIET_SECONDS)
    await fleet.wait_version(patch.version, SPREAD_SECONDS)
    delays = sorted(
        page["configuration"]["applied_at"] - committed_at
        for page in await pages(fleet)
    )
    return max(0.0, delays[len(delays) // 2]), max(0.0, delays[-1])


async def commit(fleet, patch):
    """Commit a patch to the fleet's platform."""
    settings = fleet.platform_settings()
    table, objects = HttpTableService(settings), HttpObjectStore(settings)
    try:
        result = await ConfigurationLog(table, objects).commit(patch)
    finally:
        await table.close()
        await objects.close()
    if result.outcome is not CommitOutcome.ACCEPTED:
        raise CommitRefused(f"{result.outcome.value}, version {result.version}")


def note_messages(sample, before, after):
    """Note the messages that two changes took."""
    for name in COUNTS:
        sums = [sum(page["configuration"][name] for page in p) for p in (before, after)]
        setattr(sample, name, (sums[1] - sums[0]) / sample.size / 2)


async def cold_reads(fleet, sample):
    """Return the store reads of one more daemon's start."""
    before, started = (await store_counters(fleet))["reads"], time.monotonic()
    await fleet.start_daemon(f"entry-{sample.size}")
    await fleet.wait_members(LIVE_SECONDS)
    seconds = time.monotonic() - started
    reads = (await store_counters(fleet))["reads"] - before
    return max(0.0, reads - sample.reads * seconds)
