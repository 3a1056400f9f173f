"""Runs a scenario with real daemons and stand-in targets."""

import asyncio
import tempfile
from contextlib import suppress
from pathlib import Path

from papayabay_bench.fleet import Fleet
from papayabay_bench.load.runner import processes_for, run_load
from papayabay_bench.scenarios.bound import explain, segments
from papayabay_bench.scenarios.expectations import (
    MeasureSelector,
    compute_measure,
    evaluate,
)
from papayabay_bench.scenarios.faults import FaultInjector
from papayabay_bench.scenarios.measures import RunData, windows_of
from papayabay_bench.scenarios.plans import fleet_plan, load_specs, policy_document
from papayabay_bench.scenarios.result import RunResult, series_of
from papayabay_bench.scenarios.samples import Sampler, admission_counts
from papayabay_bench.targets.records import read_records

RECORD_FLUSH_SECONDS = 0.5
"""Time after the last answer for the targets to flush their records."""
MEMBERS_TIMEOUT_SECONDS = 30.0
EXTRA_GENERATORS = 1
"""Generators beyond those needed for the rate. A generator near its limit
falls behind when clients retry, and then offers less load than the scenario
specifies; the measure `late` shows this."""

STANDARD_MEASURES = (
    MeasureSelector("goodput", None, "before"),
    MeasureSelector("goodput", None, "overload"),
    MeasureSelector("goodput", None, "after"),
    MeasureSelector("good", "critical", "overload"),
    MeasureSelector("good", "normal", "overload"),
    MeasureSelector("good", "sheddable", "overload"),
    MeasureSelector("recovery", None, "after"),
    MeasureSelector("wasted", None, "overload"),
    MeasureSelector("inversions", None, "overload"),
    MeasureSelector("idle_refusals", None, "overload"),
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
"""Measures that are computed for every run."""


async def run_scenario(scenario, policy, seed, keep_directory=None):
    """Run a scenario once.

    Parameters
    ----------
    scenario : Scenario
    policy : str
        Name of one of `POLICIES`.
    seed : int
    keep_directory : str or Path or None
        Directory for logs and records; with None they are deleted.

    Returns
    -------
    RunResult

    Raises
    ------
    StartFailed, LoadFailed, TimeoutError
        When the bench could not carry out the run.
    """
    if keep_directory is None:
        with tempfile.TemporaryDirectory(prefix="scenario-") as directory:
            return await run_in_directory(scenario, policy, seed, Path(directory))
    return await run_in_directory(scenario, policy, seed, Path(keep_directory))


async def run_in_directory(scenario, policy, seed, directory):
    """Run a scenario with its logs and records in a directory."""
    async with Fleet(fleet_plan(scenario, seed), directory) as fleet:
        version = await fleet.apply(policy_document(scenario, policy))
        await fleet.wait_members(MEMBERS_TIMEOUT_SECONDS)
        await fleet.wait_version(version)
        run_data = await collect_run_data(scenario, fleet, seed, directory)
    return make_result(scenario, policy, seed, run_data)


async def collect_run_data(scenario, fleet, seed, directory):
    """Run the loads, inject the faults and return the recorded data."""
    sampler = Sampler(fleet)
    sampling = asyncio.create_task(sampler.run())
    started = asyncio.get_running_loop().create_future()
    injecting = asyncio.create_task(
        inject_faults(FaultInjector(scenario, fleet), started)
    )
    try:
        requests = await run_loads(scenario, fleet, seed, directory, started)
        await injecting
    finally:
        await cancel(sampling, injecting)
    await asyncio.sleep(RECORD_FLUSH_SECONDS)
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


async def inject_faults(injector, started):
    """Inject the faults when the load's start time is known."""
    await injector.inject_all(await started)


async def cancel(*tasks):
    """Cancel tasks and wait until they are done."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with suppress(asyncio.CancelledError):
            await task


async def run_loads(scenario, fleet, seed, directory, started):
    """Run all loads concurrently and return their requests.

    Sets the result of the future `started` to the start of the first load.
    """

    def set_start(starts_at):
        if not started.done():
            started.set_result(starts_at)

    specs = load_specs(scenario, fleet.caller_urls(), seed)
    async with asyncio.TaskGroup() as group:
        runs = []
        for name, spec in specs.items():
            load_directory = directory / f"load-{name}"
            load_directory.mkdir(parents=True, exist_ok=True)
            processes = processes_for(spec) + EXTRA_GENERATORS
            run = run_load(spec, load_directory, processes, set_start)
            runs.append(group.create_task(run))
    return [request for run in runs for request in run.result()]


def make_result(scenario, policy, seed, run_data):
    """Compute the measures and verdicts of a run."""
    load_start = run_data.windows["whole"].begins
    measures = {
        selector.text: compute_measure(run_data, selector)
        for selector in STANDARD_MEASURES
    }
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
            name: (one.begins - load_start, one.ends - load_start)
            for name, one in run_data.windows.items()
        },
        bound_lines=explain(run_data.segments, load_start),
        measures=measures,
        verdicts=[evaluate(run_data, one) for one in scenario.expectations],
        admission=admission_counts(
            run_data.samples, window or run_data.windows["whole"]
        ),
        series=series_of(run_data),
    )
