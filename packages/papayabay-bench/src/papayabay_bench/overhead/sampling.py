"""Takes samples of one way to a target."""

import asyncio
import time
from dataclasses import dataclass, field

from papayabay_bench.fleet.process import ManagedProcess
from papayabay_bench.overhead.processor import processor_ms
from papayabay_bench.targets.answers import is_own_answer
from papayabay_bench.targets.outgoing import NONCE_HEADER, SERVICE_HEADER

SERVICE = "echo"
PATH = "/echo"
NONCE = "n"


class CallFailed(Exception):
    """A call of the measurement was not answered well."""


@dataclass(slots=True)
class Sample:
    """What one round measured on one way in one mode.

    Attributes
    ----------
    latencies_ms : list of float
    processor_ms : list of float
        Processor time of each process on the way, over all calls.
    """

    latencies_ms: list[float]
    processor_ms: list[float]


@dataclass(slots=True)
class Way:
    """One way to the target, and what was measured on it.

    Attributes
    ----------
    name : str
    url : str
        Where calls are sent.
    passes : list of ManagedProcess
        The daemons or relays that they pass, in order.
    samples : dict of str to list of Sample
        By mode, one per round.
    """

    name: str
    url: str
    passes: list[ManagedProcess]
    samples: dict[str, list[Sample]] = field(default_factory=dict)

    async def take(self, mode, work):
        """Await a round's calls and keep what they measured."""
        before = [processor_ms(process) for process in self.passes]
        latencies = await work
        after = [processor_ms(process) for process in self.passes]
        used = [end - begin for begin, end in zip(before, after, strict=True)]
        self.samples.setdefault(mode, []).append(Sample(latencies, used))


async def one_call(session, url):
    """Make a call and return its latency in milliseconds.

    Raises
    ------
    CallFailed
    """
    headers = {SERVICE_HEADER: SERVICE, NONCE_HEADER: NONCE}
    began = time.perf_counter()
    async with session.get(url + PATH, headers=headers) as answer:
        body = await answer.read()
    elapsed = time.perf_counter() - began
    if answer.status != 200 or not is_own_answer(body, NONCE):
        raise CallFailed(f"{url}: {answer.status} {body[:200]!r}")
    return elapsed * 1_000


async def sequential(session, url, calls):
    """Return the latencies of calls made one after another."""
    return [await one_call(session, url) for _ in range(calls)]


async def paced(session, url, calls, rate):
    """Return the latencies of calls begun at a fixed rate.

    A call begins when its time has come, whether the one before it was
    answered or not: waiting for a slow answer would leave out the calls
    that suffer from what made it slow.
    """
    loop = asyncio.get_running_loop()
    begins = loop.time()
    tasks = []
    async with asyncio.TaskGroup() as group:
        for number in range(calls):
            await asyncio.sleep(begins + number / rate - loop.time())
            tasks.append(group.create_task(one_call(session, url)))
    return [task.result() for task in tasks]
