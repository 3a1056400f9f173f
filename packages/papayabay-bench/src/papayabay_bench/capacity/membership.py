"""What membership costs one daemon, by the number of members."""

import asyncio
import time
from dataclasses import dataclass

from papayabay_bench.capacity.alone import alone
from papayabay_bench.capacity.crowd import news_sends
from papayabay_bench.fleet.waiting import wait_until

JOIN_SECONDS = 60.0
SETTLE_SECONDS = 6.0
DEATH_SECONDS = 90.0
DOMAIN_SIZE = 650
NEWS_SECONDS = 2.0


@dataclass(slots=True)
class MembershipSample:
    """One size.

    Attributes
    ----------
    memory, private : int
        Resident bytes after the quiet window.
    join_seconds, join_processor : float
        From the ready line until all members are known.
    processor : float
        Seconds of processor time per second of the quiet window.
    packets, packet_bytes : float
        Per second of it, sent and received, with IP and UDP headers.
    link_bytes : float
        Per second of it, both directions, with a TCP header per frame.
    news_processor : float
        Processor time that one restart's record costs above quiet, when
        the daemon hears it as often as in a cluster of this size.
    news_bytes : float
        Gossip that it adds, both directions.
    deaths : int
        How many members died at once.
    death_seconds, death_processor : float
        Until the daemon held them all for dead; processor time above quiet.
    death_packets, death_bytes : float
    """

    size: int
    reader: bool = False
    memory: int = 0
    private: int = 0
    join_seconds: float = 0.0
    join_processor: float = 0.0
    processor: float = 0.0
    packets: float = 0.0
    packet_bytes: float = 0.0
    link_bytes: float = 0.0
    news_processor: float = 0.0
    news_bytes: float = 0.0
    deaths: int = 0
    death_seconds: float = 0.0
    death_processor: float = 0.0
    death_packets: int = 0
    death_bytes: int = 0


async def measure_members(size, window, deaths=0, own_domain=True):
    """Return the sample of one size.

    Parameters
    ----------
    size : int
        Members besides the daemon.
    window : float
        Seconds of the quiet window.
    deaths : int
        How many die at once afterwards.
    own_domain : bool
        Whether some share the daemon's domain; else it reads the store.
    """
    sample = MembershipSample(size)
    async with alone(size, own_domain) as daemon:
        await measure_join(daemon, sample)
        await asyncio.sleep(SETTLE_SECONDS)
        await measure_quiet(daemon, sample, window)
        if size:
            await measure_news(daemon, sample, window)
        if deaths:
            await measure_deaths(daemon, sample, min(deaths, size // 2))
    return sample


async def measure_join(daemon, sample):
    """Wait until the daemon knows everybody."""
    started, before = time.monotonic(), daemon.usage()

    async def complete():
        return await live_members(daemon) > sample.size

    await wait_until(complete, JOIN_SECONDS, f"{sample.size} members known")
    sample.join_seconds = time.monotonic() - started
    sample.join_processor = daemon.usage().processor - before.processor


async def live_members(daemon):
    """Return how many members the daemon holds for alive."""
    return (await daemon.status())["members"]["live"]


async def measure_quiet(daemon, sample, window):
    """Measure while nothing changes; the daemon isn't asked meanwhile."""
    page = await daemon.status()
    sample.reader = page["configuration"]["reader"]
    before, crowd = daemon.usage(), daemon.crowd
    counts = traffic(crowd)
    started = time.monotonic()
    await asyncio.sleep(window)
    usage, after = daemon.usage(), traffic(crowd)
    seconds = time.monotonic() - started
    sample.memory, sample.private = usage.memory, usage.private
    sample.processor = (usage.processor - before.processor) / seconds
    rates = [(new - old) / seconds for new, old in zip(after, counts, strict=True)]
    sample.packets, sample.packet_bytes, sample.link_bytes = rates


def traffic(crowd):
    """Return packets, their bytes and link bytes so far."""
    if crowd is None:
        return 0, 0, 0
    return crowd.packets, crowd.packet_bytes, crowd.link_bytes


async def measure_news(daemon, sample, window):
    """Measure while one member after the other restarts."""
    crowd, before = daemon.crowd, daemon.usage()
    packet_bytes, started = crowd.packet_bytes, time.monotonic()
    count = max(1, int(window / NEWS_SECONDS))
    for _ in range(count):
        crowd.restart_one(news_sends(sample.size))
        await asyncio.sleep(NEWS_SECONDS)
    seconds = time.monotonic() - started
    used = daemon.usage().processor - before.processor
    sample.news_processor = (used - sample.processor * seconds) / count
    grown = crowd.packet_bytes - packet_bytes - sample.packet_bytes * seconds
    sample.news_bytes = grown / count


async def measure_deaths(daemon, sample, count):
    """Let members die at once and wait until all are held for dead."""
    before, crowd = daemon.usage(), daemon.crowd
    packets, packet_bytes, _ = traffic(crowd)
    started = time.monotonic()
    sample.deaths = len(crowd.kill(count))

    async def noticed():
        # Each look costs the daemon a status page.
        await asyncio.sleep(0.5)
        return await live_members(daemon) <= sample.size + 1 - sample.deaths

    await wait_until(noticed, DEATH_SECONDS, f"{count} deaths noticed")
    seconds = time.monotonic() - started
    used = daemon.usage().processor - before.processor
    sample.death_seconds = seconds
    sample.death_processor = used - sample.processor * seconds
    sample.death_packets = crowd.packets - packets
    sample.death_bytes = crowd.packet_bytes - packet_bytes
