"""Runs many seeds, a few fleets at a time, each in a process of its own."""

import asyncio
import json
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from papayabay_bench.fleet.fleet import Fleet
from papayabay_bench.fleet.process import StartFailed
from papayabay_bench.history.records import write_history
from papayabay_bench.history.run import (
    evaluate,
    failed_fleet_result,
    prepare_fleet,
    run_seed,
)
from papayabay_bench.history.summary import seed_line
from papayabay_bench.history.system import fleet_plan
from papayabay_bench.history.violations import violation_lines

FLEET_FAULTS = (
    TimeoutError,
    StartFailed,
    OSError,
    ExceptionGroup,
    json.JSONDecodeError,
)


def run_seeds(seeds, kinds, jobs, keep):
    """Return the `SeedResult` of every seed, in no certain order.

    Parameters
    ----------
    seeds : list of int
    kinds : tuple of str
    jobs : int
        Fleets at a time.
    keep : str
        Directory for histories and logs; nothing is kept when empty.
    """
    shares = [seeds[first::jobs] for first in range(min(jobs, len(seeds)))]
    context = multiprocessing.get_context("spawn")
    run = partial(run_share, kinds=kinds, keep=keep)
    with ProcessPoolExecutor(len(shares), mp_context=context) as pool:
        return [result for share in pool.map(run, shares) for result in share]


def run_share(seeds, kinds, keep):
    """Run one process's seeds, one after another."""
    return asyncio.run(run_in_turn(seeds, kinds, keep))


async def run_in_turn(seeds, kinds, keep):
    """Run seeds on one fleet; a new one after a fleet did not recover."""
    results, remaining = [], list(seeds)
    while remaining:
        at_start = len(remaining)
        try:
            await run_on_fleet(remaining, results, kinds, keep)
        except FLEET_FAULTS as error:
            if len(remaining) == at_start:
                results.append(failed_fleet_result(remaining.pop(0), error))
                report(results[-1])
    return results


async def run_on_fleet(remaining, results, kinds, keep):
    """Take seeds off a list until none is left or the fleet is unfit."""
    first = remaining[0]
    directory = f"{keep}/fleet-{first}" if keep else None
    async with Fleet(fleet_plan(first), directory) as fleet:
        await prepare_fleet(fleet)
        while remaining:
            seed = remaining.pop(0)
            result = await run_and_judge(fleet, seed, kinds, keep)
            results.append(result)
            report(result)
            if any(one.rule == "recovery" for one in result.violations):
                break


async def run_and_judge(fleet, seed, kinds, keep):
    """Run and check one seed."""
    try:
        history = await run_seed(fleet, seed, kinds)
    except FLEET_FAULTS as error:
        return failed_fleet_result(seed, error)
    if keep:
        write_history(history, Path(keep) / f"seed-{seed}.jsonl")
    return evaluate(history)


def report(result):
    """Print a seed's result, and the trace of each violation."""
    print(seed_line(result), flush=True)
    for violation in result.violations:
        print("\n".join(violation_lines(violation, result.seed)), flush=True)
