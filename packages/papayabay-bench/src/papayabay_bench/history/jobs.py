"""Runs many seeds in several processes, each with a fleet of its own."""

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

FLEET_ERRORS = (
    TimeoutError,
    StartFailed,
    OSError,
    ExceptionGroup,
    json.JSONDecodeError,
)


def run_seeds(seeds, kinds, jobs, keep_directory):
    """Run seeds and return the `SeedResult` of each, in any order.

    Parameters
    ----------
    seeds : list of int
    kinds : tuple of str
        Kinds of fault to draw from.
    jobs : int
        Number of fleets that run at the same time.
    keep_directory : str
        Directory for histories and logs; nothing is kept when empty.
    """
    batches = [seeds[first::jobs] for first in range(min(jobs, len(seeds)))]
    context = multiprocessing.get_context("spawn")
    run = partial(run_batch, kinds=kinds, keep_directory=keep_directory)
    with ProcessPoolExecutor(len(batches), mp_context=context) as pool:
        return [result for batch in pool.map(run, batches) for result in batch]


def run_batch(seeds, kinds, keep_directory):
    """Run the seeds of one process, one after another."""
    return asyncio.run(run_sequentially(seeds, kinds, keep_directory))


async def run_sequentially(seeds, kinds, keep_directory):
    """Run seeds one after another on as few fleets as possible.

    A fleet that did not recover is replaced. When a fleet fails before its
    first seed has run, that seed gets a failed result.
    """
    results, remaining = [], list(seeds)
    while remaining:
        count_before = len(remaining)
        try:
            await run_on_fleet(remaining, results, kinds, keep_directory)
        except FLEET_ERRORS as error:
            if len(remaining) == count_before:
                results.append(failed_fleet_result(remaining.pop(0), error))
                report(results[-1])
    return results


async def run_on_fleet(remaining, results, kinds, keep_directory):
    """Run seeds on one fleet until all are done or it fails to recover.

    Each seed is removed from `remaining` when it starts; its result is
    appended to `results`.
    """
    first = remaining[0]
    directory = f"{keep_directory}/fleet-{first}" if keep_directory else None
    async with Fleet(fleet_plan(first), directory) as fleet:
        await prepare_fleet(fleet)
        while remaining:
            seed = remaining.pop(0)
            result = await run_and_evaluate(fleet, seed, kinds, keep_directory)
            results.append(result)
            report(result)
            if any(one.rule == "recovery" for one in result.violations):
                break


async def run_and_evaluate(fleet, seed, kinds, keep_directory):
    """Run one seed, write its history if asked to, and return its result."""
    try:
        history = await run_seed(fleet, seed, kinds)
    except FLEET_ERRORS as error:
        return failed_fleet_result(seed, error)
    if keep_directory:
        write_history(history, Path(keep_directory) / f"seed-{seed}.jsonl")
    return evaluate(history)


def report(result):
    """Print the result of a seed with the trace of each violation."""
    print(seed_line(result), flush=True)
    for violation in result.violations:
        print("\n".join(violation_lines(violation, result.seed)), flush=True)
