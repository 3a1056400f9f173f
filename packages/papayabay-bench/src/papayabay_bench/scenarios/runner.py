"""Runs a scenario: real daemons, real sockets, stand-in targets."""

import asyncio
import tempfile
from contextlib import suppress
from pathlib import Path

from papayabay_bench.fleet import Fleet
from papayabay_bench.load.runner import processes_for, run_load
from papayabay_bench.scenarios.bound import explain, segments
from papayabay_bench.scenarios.expectations import MeasureSelector, judge, measure
from papayabay_bench.scenarios.faults import FaultPlayer
from papayabay_bench.scenarios.measures import RunData, windows_of
from papayabay_bench.scenarios.plans import fleet_plan, load_specs, policy_document
from papayabay_bench.scenarios.result import RunResult, series_of
from papayabay_bench.scenarios.samples import Sampler, admission_counts
from papayabay_bench.targets.records import read_records

SETTLE_SECONDS = 0.5
"""After the last answer, for the targets' records to be written out."""
MEMBERS_TIMEOUT = 30.0
SPARE_GENERATORS = 1
"""A generator near its limit is late itself when clients retry, and then
offers less than the scenario says; `late` shows it."""

STANDARD = (
    MeasureSelector("goodput", None, "before"),
    MeasureSelector("goodput", None, "overload"),
    MeasureSelector("goodput", None, "after"),
    MeasureSelector("good", "critical", "overload"),
    MeasureSelector("good", "normal", "overload"),
    MeasureSelector("good", "sheddable", "overload"),
    MeasureSelector("recovery", None, "after"),
    MeasureSelector("wasted", None, "overload"),
    MeasureSelector("inversions", None, "overload"),
    MeasureSelector("retries", None, "whole"),
    MeasureSelector("refused", None, "before"),
    MeasureSelector("doubled", None, "whole"),
    MeasureSelector("lost", None, "whole"),
    MeasureSelector("denied", None, "whole"),
    MeasureSelector("crossed", None, "whole"),
    MeasureSelector("p50", "critical", "overload"),
    MeasureSelector("p99", None, "before"),
    MeasureSelector("late", None, "whole"),
    MeasureSelector("unsent", None, "whole"),
)
"""Measures of every run, whatever it expects."""


async def run_scenario(scenario, policy, seed, keep=None):
    """Run a scenario once.

    Parameters
    ----------
    scenario : Scenario
    policy : str
        Name of one of `POLICIES`.
    seed : int
    keep : str or Path or None
        Where logs and records stay; a temporary place when None.

    Returns
    -------
    RunResult

    Raises
    ------
    StartFailed, LoadFailed, TimeoutError
        When the bench itself could not do its work.
    """
    if keep is None:
        with tempfile.TemporaryDirectory(prefix="scenario-") as directory:
            return await run_within(scenario, policy, seed, Path(directory))
    return await run_within(scenario, policy, seed, Path(keep))


async def run_within(scenario, policy, seed, directory):
    """Run a scenario with its files in a directory."""
    async with Fleet(fleet_plan(scenario, seed), directory) as fleet:
        version = await fleet.apply(policy_document(scenario, policy))
        await fleet.wait_members(MEMBERS_TIMEOUT)
        await fleet.wait_version(version)
        run_data = await collect(scenario, fleet, seed, directory)
    return summary(scenario, policy, seed, run_data)


async def collect(scenario, fleet, seed, directory):
    """Offer the load, play the faults and return what was seen."""
    sampler = Sampler(fleet)
    sampling = asyncio.create_task(sampler.run())
    started = asyncio.get_running_loop().create_future()
    playing = asyncio.create_task(play(FaultPlayer(scenario, fleet), started))
    try:
        requests = await offer(scenario, fleet, seed, directory, started)
        await playing
    finally:
        await stop(sampling, playing)
    await asyncio.sleep(SETTLE_SECONDS)
    records = read_records(fleet.record_paths())
    windows = windows_of(scenario, started.result())
    return RunData(
        scenario=scenario,
        requests=requests,
        executions=records.executions,
        effects=records.effects,
        samples=sampler.samples,
        segments=segments(scenario, requests, windows["whole"]),
        windows=windows,
    )


async def play(player, started):
    """Play the faults from the load's start."""
    await player.play(await started)


async def stop(*tasks):
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with suppress(asyncio.CancelledError):
            await task


async def offer(scenario, fleet, seed, directory, started):
    """Offer all loads at once and return their requests."""

    def keep_start(starts_at):
        if not started.done():
            started.set_result(starts_at)

    specs = load_specs(scenario, fleet.caller_urls(), seed)
    async with asyncio.TaskGroup() as group:
        runs = []
        for name, spec in specs.items():
            position = directory / f"load-{name}"
            position.mkdir(parents=True, exist_ok=True)
            processes = processes_for(spec) + SPARE_GENERATORS
            run = run_load(spec, position, processes, keep_start)
            runs.append(group.create_task(run))
    return [request for run in runs for request in run.result()]


def summary(scenario, policy, seed, run_data):
    """Return what a run found."""
    begins = run_data.windows["whole"].begins
    measures = {selector.text: measure(run_data, selector) for selector in STANDARD}
    window = run_data.windows.get("overload")
    if window and window.seconds:
        bound = run_data.bound(window)
        got = measures["goodput overload"]
        measures["bound overload"] = bound
        measures["goodput of bound"] = got / bound if bound else None
    return RunResult(
        scenario=scenario.name,
        source=scenario.source,
        scale=scenario.scale,
        policy=policy,
        seed=seed,
        windows={
            name: (one.begins - begins, one.ends - begins)
            for name, one in run_data.windows.items()
        },
        bound_lines=explain(run_data.segments, begins),
        measures=measures,
        verdicts=[judge(run_data, one) for one in scenario.expectations],
        admission=admission_counts(
            run_data.samples, window or run_data.windows["whole"]
        ),
        series=series_of(run_data),
    )
