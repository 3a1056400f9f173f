"""Measures the ways to a target in interleaved rounds, side by side.

Each round takes every way in turn and begins with another one, so that a
drift of the machine, such as another program's load, meets all alike. Bare
relays stand beside the daemons: what two of them add is the price of two
more HTTP hops here, and only the rest is the price of what daemons decide.
"""

import gc
import json
from itertools import islice

from papayabay_bench.fleet import Fleet, FleetPlan, ServicePlan
from papayabay_bench.load.client import new_session
from papayabay_bench.overhead.sampling import SERVICE, Way, paced, sequential
from papayabay_bench.overhead.table import results, table_lines
from papayabay_bench.targets.specification import CallPath, ServiceTime

SEQUENTIAL = "sequential"
WARM_UP_CALLS = 500
NO_WORK = ServiceTime(distribution="fixed", mean_ms=0)
POLICY = {"services": {SERVICE: {}}}
BENCH = ["-m", "papayabay_bench"]


def plan():
    """Return one target with its daemon, and one more daemon."""
    path = CallPath(prefix="/", work=NO_WORK, answer_bytes=0)
    echo = ServicePlan(name=SERVICE, paths=[path], upstreams=1, slots=50)
    return FleetPlan(services=[echo], entries=1, failure_domains=1)


async def measure(rounds, calls, rate, json_path=""):
    """Measure and print the table; return the exit code.

    Parameters
    ----------
    rounds : int
    calls : int
        Calls of each way and mode in a round.
    rate : int
        Calls a second of the paced mode.
    json_path : str
        Where to write the figures too; empty for nowhere.
    """
    async with Fleet(plan()) as fleet:
        await fleet.wait_members()
        await fleet.wait_version(await fleet.apply(POLICY))
        await fleet.wait_services()
        ways = await ways_of(fleet)
        async with new_session() as session:
            await take_rounds(session, ways, rounds, calls, rate)
    modes = (SEQUENTIAL, paced_mode(rate))
    for line in table_lines(ways, modes):
        print(line)
    if json_path:
        with open(json_path, "w") as file:
            json.dump(results(ways, modes), file, indent=2)
    return 0


def paced_mode(rate):
    """Return the name of the paced mode."""
    return f"{rate} calls/s"


async def ways_of(fleet):
    """Return all ways, the direct one first."""
    beside, entry = f"{SERVICE}-0", "entry-0"
    target = fleet.target_addresses()[beside]
    near = await start_relay(fleet, "relay-near", target)
    far = await start_relay(fleet, "relay-far", near.ready["url"])
    daemons = fleet.daemons
    return [
        Way("direct", target, []),
        Way("one relay", near.ready["url"], [near]),
        Way("two relays", far.ready["url"], [far, near]),
        Way("one daemon", fleet.caller_url(beside), [daemons[beside]]),
        Way("two daemons", fleet.caller_url(entry), [daemons[entry], daemons[beside]]),
    ]


async def start_relay(fleet, name, upstream):
    """Return a running relay; the fleet ends it."""
    process = fleet.new_process(name, [*BENCH, "relay", f"--upstream={upstream}"])
    fleet.processes[name] = process
    await process.start(fleet.plan.ready_timeout)
    return process


async def take_rounds(session, ways, rounds, calls, rate):
    """Warm all ways up, then sample them round by round.

    The collector of this process runs between samples only: one of its
    pauses would count as the latency of whichever way it hits.
    """
    for way in ways:
        await sequential(session, way.url, WARM_UP_CALLS)
        await paced(session, way.url, WARM_UP_CALLS // 5, rate)
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        for number in range(rounds):
            for way in rotated(ways, number):
                await way.take(SEQUENTIAL, sequential(session, way.url, calls))
                gc.collect()
            for way in rotated(ways, number):
                work = paced(session, way.url, calls, rate)
                await way.take(paced_mode(rate), work)
                gc.collect()
            print(f"round {number + 1} of {rounds} done", flush=True)
    finally:
        gc.enable()


def rotated(ways, number):
    """Return the ways, beginning with another one each round."""
    first = number % len(ways)
    return [*islice(ways, first, None), *ways[:first]]
