"""Runs a load in as many generator processes as it needs."""

import asyncio
import json
import math
from pathlib import Path

from papayabay_bench.fleet.process import ManagedProcess
from papayabay_bench.load.results import read_requests
from papayabay_core.utils.clock import now

CALLS_PER_PROCESS = 1_500
"""Calls per second, retries counted in, that one generator sends without
being late itself."""
LEAD_SECONDS = 1.5
READY_TIMEOUT = 20.0
GRACE_SECONDS = 1.0
MOST_RETRY_AFTER = 10.0


class LoadFailed(Exception):
    """A generator process ended badly."""


def processes_for(spec):
    """Return how many generators a load needs at its worst."""
    highest = max(phase.rate for phase in spec.phases)
    attempts = spec.patience.retries + 1
    return max(1, math.ceil(highest * attempts / CALLS_PER_PROCESS))


async def run_load(spec, directory, processes=None, started=None):
    """Offer a load from processes of its own.

    Parameters
    ----------
    spec : LoadSpec
        Its `starts_at`, `part`, `parts` and `output_path` are set here.
    directory : str or Path
        For the generators' specifications, logs and results.
    processes : int or None
        As many as the load needs when None.
    started : callable or None
        Called with the time of the load's start, on `clock.now()`, as soon
        as it is known.

    Returns
    -------
    list of Request

    Raises
    ------
    LoadFailed
        When a generator did not finish.
    """
    parts = processes or processes_for(spec)
    starts_at = now() + LEAD_SECONDS
    generators = [
        generator_process(spec, Path(directory), starts_at, part, parts)
        for part in range(parts)
    ]
    try:
        await asyncio.gather(
            *(process.start(READY_TIMEOUT) for process, _ in generators)
        )
        if started:
            started(starts_at)
        await asyncio.gather(*(finished(spec, process) for process, _ in generators))
    finally:
        await asyncio.gather(
            *(process.stop(GRACE_SECONDS) for process, _ in generators)
        )
    return read_requests(output for _, output in generators)


def generator_process(spec, directory, starts_at, part, parts):
    """Return one generator's process and the file of its results."""
    output = directory / f"load-{part}.requests.jsonl"
    changes = {
        "starts_at": starts_at,
        "part": part,
        "parts": parts,
        "output_path": str(output),
    }
    path = directory / f"load-{part}.json"
    path.write_text(json.dumps(spec.model_dump() | changes))
    arguments = ["-m", "papayabay_bench", "load", str(path)]
    log = directory / f"load-{part}.log"
    return ManagedProcess(f"load-{part}", arguments, log), output


async def finished(spec, process):
    """Wait until a generator has sent and seen everything."""
    patience = spec.patience
    pause_ms = patience.pause_ms + patience.attempt_timeout_ms
    longest = (patience.retries + 1) * pause_ms / 1_000
    if patience.honour_retry_after:
        longest += patience.retries * MOST_RETRY_AFTER
    code = await process.wait(LEAD_SECONDS + spec.seconds + longest + READY_TIMEOUT)
    if code != 0:
        raise LoadFailed(f"{process.name}: exit code {code}\n{process.log_tail()}")
