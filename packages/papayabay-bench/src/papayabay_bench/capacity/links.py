"""What idle links cost one daemon, by their number."""

import asyncio
from dataclasses import dataclass

from papayabay_bench.capacity.alone import alone

DIALS_AT_ONCE = 20
SETTLE_SECONDS = 2.0


@dataclass(slots=True)
class LinkSample:
    """One number of links.

    Attributes
    ----------
    memory, private : int
        Resident bytes at the end.
    processor : float
        Seconds per second.
    frames, bytes : float
        Per second on all links, both directions, a TCP header for each
        frame counted in. The few links of reconciling are among them.
    """

    size: int
    memory: int = 0
    private: int = 0
    processor: float = 0.0
    frames: float = 0.0
    bytes: float = 0.0


async def measure_links(size, window):
    """Return the sample of a number of idle links.

    The dialling side closes a link that it had no use for within a minute,
    so the window has to be shorter.
    """
    sample = LinkSample(size)
    async with alone(max(size, 2)) as daemon:
        crowd = daemon.crowd
        await open_links(daemon, size)
        await asyncio.sleep(SETTLE_SECONDS)
        before, frames, size_before = (
            daemon.usage(),
            crowd.link_frames,
            crowd.link_bytes,
        )
        await asyncio.sleep(window)
        usage = daemon.usage()
        sample.processor = (usage.processor - before.processor) / window
        sample.frames = (crowd.link_frames - frames) / window
        sample.bytes = (crowd.link_bytes - size_before) / window
        sample.memory, sample.private = usage.memory, usage.private
    return sample


async def open_links(daemon, count):
    """Open links of so many members to the daemon."""
    gate = asyncio.Semaphore(DIALS_AT_ONCE)
    to = daemon.member()

    async def open_one(sender):
        async with gate:
            if await daemon.crowd.dial(to, sender) is None:
                raise ConnectionError(f"{sender.name} got no link")

    async with asyncio.TaskGroup() as group:
        for sender in daemon.crowd.members[:count]:
            group.create_task(open_one(sender))
