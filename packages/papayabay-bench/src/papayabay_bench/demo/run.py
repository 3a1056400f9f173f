"""Runs the demonstration and prints its table."""

import asyncio
import time

from papayabay_bench.demo import chain
from papayabay_bench.demo.table import Stages, judge, table_lines
from papayabay_bench.fleet import Fleet
from papayabay_bench.fleet.fleet import ControlRefused
from papayabay_bench.fleet.policy import CommitRefused
from papayabay_bench.fleet.process import StartFailed
from papayabay_bench.load.runner import LoadFailed, run_load
from papayabay_bench.load.specification import LoadSpec, Phase
from papayabay_bench.measures.capacity import bottleneck
from papayabay_bench.targets.records import read_records
from papayabay_core.exceptions import PapayabayError
from papayabay_core.utils.clock import now

NORMAL_SECONDS = 6.0
OVERLOAD_SECONDS = 6.0
RECOVERY_SECONDS = 8.0
RECORD_DELAY = 0.5


class Progress:
    """Prints what happens, with the seconds since the start."""

    def __init__(self):
        self.started = time.monotonic()

    def __call__(self, text):
        """Print one line."""
        print(f"[{time.monotonic() - self.started:5.1f} s] {text}", flush=True)


EXPECTED_FAULTS = (
    StartFailed,
    LoadFailed,
    ControlRefused,
    CommitRefused,
    PapayabayError,
    TimeoutError,
    OSError,
)


async def run_demo(seed):
    """Run the demonstration; return the exit code."""
    tell = Progress()
    code = 1
    try:
        code = await run_stages(seed, tell)
    except* EXPECTED_FAULTS as faults:
        for fault in leaves(faults):
            tell(f"failed: {fault}")
    return code


async def run_stages(seed, tell):
    """Run all stages and print the table; return the exit code."""
    plan = chain.fleet_plan(seed)
    bound = bottleneck(plan.services, chain.calls())
    tell(f"scale: {chain.SCALE}; best possible {bound.rate:.0f} requests/s")
    tell("starting platform, 6 daemons and 6 targets")
    async with Fleet(plan) as fleet:
        await fleet.wait_members()
        tell("all daemons know each other, all targets are announced")
        version = await fleet.apply(chain.policy())
        await fleet.wait_version(version)
        tell(f"policy patch committed and in force everywhere: version {version}")
        await fleet.wait_services()
        tell("every daemon reaches every upstream")
        requests, stages = await offer_load(fleet, bound.rate, seed, tell)
        await asyncio.sleep(RECORD_DELAY)
        records = read_records(fleet.record_paths())
    for line in table_lines(requests, records, stages, bound):
        print(line)
    return judge(requests, records, tell)


async def offer_load(fleet, best_rate, seed, tell):
    """Offer normal load, an overload, normal load; return what came."""
    spec = load_spec(fleet, best_rate, seed)
    switching = None
    stages = None

    def started(starts_at):
        nonlocal switching, stages
        stages = Stages.of(
            starts_at, NORMAL_SECONDS, OVERLOAD_SECONDS, RECOVERY_SECONDS
        )
        switching = asyncio.create_task(switch_faults(fleet, stages, tell))

    try:
        requests = await run_load(spec, fleet.directory, started=started)
        await switching
    finally:
        if switching:
            switching.cancel()
    tell(f"load ended: {len(requests)} requests")
    return requests, stages


def load_spec(fleet, best_rate, seed):
    """Return the load of all three stages."""
    normal = chain.NORMAL_SHARE * best_rate
    surge = chain.SURGE_SHARE * best_rate
    return LoadSpec(
        entries=fleet.caller_urls(),
        calls=chain.calls(),
        phases=[
            Phase(seconds=NORMAL_SECONDS, rate=normal),
            Phase(seconds=OVERLOAD_SECONDS, rate=surge),
            Phase(seconds=RECOVERY_SECONDS, rate=normal),
        ],
        patience=chain.patience(),
        seed=seed,
    )


async def switch_faults(fleet, stages, tell):
    """Slow the deepest service down for the length of the overload."""
    await sleep_until(stages.normal.begins)
    tell("normal load")
    await sleep_until(stages.overload.begins)
    await fleet.control_service(chain.SLOW_SERVICE, slow=chain.SLOW_FACTOR)
    tell(
        f"overload: load x {chain.SURGE_SHARE / chain.NORMAL_SHARE:.0f}, "
        f"{chain.SLOW_SERVICE} {chain.SLOW_FACTOR:.0f} times slower, hard retries"
    )
    await sleep_until(stages.after.begins)
    await fleet.control_service(chain.SLOW_SERVICE, slow=1.0)
    tell("trigger over: normal load again")


async def sleep_until(moment):
    """Sleep until a moment on `clock.now()`."""
    await asyncio.sleep(max(0.0, moment - now()))


def leaves(group):
    """Yield the single exceptions of a group."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from leaves(error)
        else:
            yield error
