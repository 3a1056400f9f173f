"""Runs the schedule of a seed on a fleet and evaluates its history."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from papayabay_bench.history.clients import RecordingClient
from papayabay_bench.history.faults import FaultInjector
from papayabay_bench.history.limits import Limits
from papayabay_bench.history.observer import Observer
from papayabay_bench.history.operators import Operators
from papayabay_bench.history.recorder import Recorder
from papayabay_bench.history.records import (
    Answered,
    Arrival,
    Effect,
    Fault,
    History,
    Invocation,
    PatchOutcome,
    Phase,
)
from papayabay_bench.history.rules import check
from papayabay_bench.history.schedule import (
    RUN_SECONDS,
    ClientPlan,
    draw_schedule,
)
from papayabay_bench.history.system import (
    DEADLINE_MS,
    RETRY_CREDITS,
    policy,
)
from papayabay_bench.history.violations import Violation
from papayabay_bench.load.client import new_session
from papayabay_bench.targets.records import read_records
from papayabay_core.utils.clock import now

READY_TIMEOUT_SECONDS = 20.0
PROPAGATION_TIMEOUT_SECONDS = 6.0
SURGE_CLIENTS = 60
SURGE_OPERATIONS = ("home", "browse", "browse")
RECORD_FLUSH_SECONDS = 0.3
"""Time within which the target hosts flush their records to disk."""
LIMITS = Limits(
    retries=RETRY_CREDITS,
    lifetime_seconds=DEADLINE_MS / 1_000,
)


@dataclass(slots=True)
class SeedResult:
    """Counts and violations of one seed's history.

    Attributes
    ----------
    answers : Counter
        Attempts by error kind, or by outcome where there is no kind.
    faults : Counter
        Faults by kind.
    patches : Counter
        Patch outcomes by their value.
    """

    seed: int
    calls: int = 0
    answers: Counter = field(default_factory=Counter)
    effects: int = 0
    faults: Counter = field(default_factory=Counter)
    patches: Counter = field(default_factory=Counter)
    violations: list = field(default_factory=list)


async def prepare_fleet(fleet):
    """Commit the policy and wait until all daemons route to all upstreams."""
    await fleet.wait_members(READY_TIMEOUT_SECONDS)
    await fleet.wait_version(await fleet.apply(policy()), READY_TIMEOUT_SECONDS)
    await fleet.wait_services(READY_TIMEOUT_SECONDS)


async def run_seed(fleet, seed, kinds=()):
    """Run a seed's schedule and return its `History`.

    Parameters
    ----------
    fleet : Fleet
        Prepared with `prepare_fleet`; can be used for the next seed after.
    seed : int
    kinds : sequence of str
        Kinds of fault to draw from; all when empty.

    Raises
    ------
    TimeoutError
        When the fleet does not recover from the faults.
    """
    schedule = draw_schedule(seed, kinds)
    recorder = Recorder(seed)
    async with Operators(fleet.platform_settings(), recorder) as operators:
        async with new_session() as session:
            await run_schedule(fleet, schedule, recorder, operators, session)
        await operators.settle()
        newest = await operators.record_stored()
        await fleet.wait_version(newest, PROPAGATION_TIMEOUT_SECONDS)
    await Observer(fleet, recorder).record_documents()
    await fleet.wait_members(READY_TIMEOUT_SECONDS)
    await fleet.wait_services(READY_TIMEOUT_SECONDS)
    await asyncio.sleep(RECORD_FLUSH_SECONDS)
    records = target_records(fleet, f"s{seed}-")
    return History(seed, [*recorder.records, *records])


async def run_schedule(fleet, schedule, recorder, operators, session):
    """Run the schedule's clients, operators and faults concurrently."""
    observer = Observer(fleet, recorder)
    injector = FaultInjector(fleet, recorder)
    entries = {name: fleet.caller_url(name) for name in fleet.daemons}
    starts_at = now()
    watchers = [asyncio.create_task(observer.watch(name)) for name in fleet.daemons]
    try:
        async with asyncio.TaskGroup() as group:
            for number, plan in enumerate(schedule.clients):
                name = f"s{recorder.seed}-c{number}"
                client = RecordingClient(name, plan, entries, session, recorder)
                group.create_task(client.run(starts_at + RUN_SECONDS))
            for fault in schedule.faults:
                group.create_task(injector.inject(fault, starts_at))
            for number, fault in enumerate(schedule.faults):
                if fault.kind == "surge":
                    name = f"s{recorder.seed}-surge{number}"
                    clients = surge_clients(name, entries, session, recorder)
                    group.create_task(run_surge(clients, fault, starts_at))
            for offset, count in schedule.patches:
                group.create_task(race_at(operators, starts_at + offset, count))
    finally:
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)


def surge_clients(name, entries, session, recorder):
    """Return the additional clients of a `surge` fault."""
    return [
        RecordingClient(
            f"{name}-c{number}",
            ClientPlan(
                SURGE_OPERATIONS,
                pause_ms=0,
                retries=0,
                concurrent_attempts=1,
                seed=number,
            ),
            entries,
            session,
            recorder,
        )
        for number in range(SURGE_CLIENTS)
    ]


async def run_surge(clients, fault, starts_at):
    """Run clients while a fault is active."""
    await asyncio.sleep(max(0.0, starts_at + fault.start_seconds - now()))
    ends_at = starts_at + fault.start_seconds + fault.duration_seconds
    await asyncio.gather(*(client.run(ends_at) for client in clients))


async def race_at(operators, time, count):
    """Commit concurrent patches at a time on `clock.now()`."""
    await asyncio.sleep(max(0.0, time - now()))
    await operators.race(count)


def target_records(fleet, prefix):
    """Return the targets' records of attempts whose names have a prefix."""
    records = read_records(fleet.record_paths())
    arrivals = (
        Arrival(
            target=one.target,
            service=one.service,
            attempt=one.request,
            nonce=one.nonce,
            path=one.path,
            end=one.end,
            status=one.status,
            began=one.time - (one.queued_ms + one.busy_ms) / 1_000,
            time=one.time,
        )
        for one in records.executions
    )
    effects = (
        Effect(one.target, one.service, one.request, one.key, one.path, one.time)
        for one in records.effects
    )
    all_records = [*arrivals, *effects]
    return [record for record in all_records if record.attempt.startswith(prefix)]


def evaluate(history):
    """Return the counts of a history and its violations of the rules."""
    begins = [one for one in history.of_type(Fault) if one.phase == Phase.BEGIN.value]
    return SeedResult(
        seed=history.seed,
        calls=len(history.of_type(Invocation)),
        answers=Counter(
            answer.kind or answer.outcome for answer in history.of_type(Answered)
        ),
        effects=len(history.of_type(Effect)),
        faults=Counter(fault.kind for fault in begins),
        patches=Counter(one.outcome for one in history.of_type(PatchOutcome)),
        violations=check(history, LIMITS),
    )


def failed_fleet_result(seed, error):
    """Return the result of a seed whose fleet failed or did not recover."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    violation = Violation("recovery", "fleet", f"{type(error).__name__}: {error}")
    return SeedResult(seed=seed, violations=[violation])
