"""Converts a scenario into a fleet plan, a policy and load specifications."""

import re
from itertools import pairwise

from papayabay_bench.fleet.plan import FleetPlan, ServicePlan
from papayabay_bench.load.specification import CallMix, LoadSpec, Patience, Phase
from papayabay_bench.scenarios.policies import decisions_of
from papayabay_bench.targets.specification import CallPath, OutgoingCall, ServiceTime

RAMP_STEP_SECONDS = 0.2
SEEDS_PER_RUN = 1_000
"""Seeds reserved for the loads of one run, so that no two loads share one."""
PLACEHOLDER = re.compile(r"\{[^/{}]*\}|\*$")


def fleet_plan(scenario, seed):
    """Return the plan of the fleet that a scenario describes."""
    return FleetPlan(
        services=[service_plan(scenario, one) for one in scenario.services.values()],
        failure_domains=scenario.domains,
        entries=scenario.entries,
        seed=seed,
        log_level="NOTICE",
    )


def service_plan(scenario, service):
    """Return the plan of one service."""
    return ServicePlan(
        name=service.name,
        paths=[call_path(scenario, call) for call in service.calls.values()],
        upstreams=service.upstreams,
        slots=service.slots,
        announced_slots=service.announced_slots,
        connections=service.connections,
        holds_slot=service.holds_slot,
        cold_start_ms=service.cold_start_ms,
        cold_factor=service.cold_factor,
    )


def call_path(scenario, call):
    """Return the specification of a call at the targets that serve it."""
    return CallPath(
        prefix=call.prefix,
        work=ServiceTime(
            distribution=call.distribution, mean_ms=call.work_ms, sigma=call.sigma
        ),
        calls=[outgoing_call(scenario, step) for step in call.steps],
        parallel=call.together,
        effect=call.effect,
        answer_bytes=call.answer_bytes,
    )


def outgoing_call(scenario, step):
    """Return the specification of one outgoing call of a target."""
    call = scenario.call(step)
    return OutgoingCall(
        service=step.service,
        path=PLACEHOLDER.sub("1", call.path),
        method=call.method,
        repeats=step.retries,
    )


def policy_document(scenario, policy):
    """Return the policy document of a scenario.

    The decisions of the named policy take precedence over the scenario's
    own, so that a baseline is the same in every scenario.
    """
    return {
        "decisions": scenario.decisions | decisions_of(policy),
        "services": {
            service.name: declaration(service) for service in scenario.services.values()
        },
    }


def declaration(service):
    """Return the policy of a service."""
    declared = {
        "calls": {call.name: declared_call(call) for call in service.calls.values()}
    }
    if service.deadline_ms is not None:
        declared["deadline_ms"] = service.deadline_ms
    if service.credits is not None:
        declared["retries"] = {"credits": service.credits}
    for group, key, value in service.settings:
        declared.setdefault(group, {})[key] = value
    return declared


def declared_call(call):
    """Return the policy of a call."""
    declared = {
        "methods": [call.method],
        "path": call.path,
        "importance": call.importance,
        "idempotent": not call.once,
    }
    if call.once:
        declared["at_most_once"] = call.once
    if call.deadline_ms is not None:
        declared["deadline_ms"] = call.deadline_ms
    if call.credits is not None:
        declared["retry_credits"] = call.credits
    return declared


def load_specs(scenario, entries, seed):
    """Return the specification of each load, by its name.

    Parameters
    ----------
    scenario : Scenario
    entries : list of str
        URLs of the daemons' listeners for callers.
    seed : int
        Seed of the run; each load gets a seed of its own derived from it.
    """
    return {
        load.name: LoadSpec(
            entries=entries,
            calls=[call_mix(scenario, share) for share in load.mix],
            phases=load_phases(scenario, load),
            patience=Patience(
                attempt_timeout_ms=load.wait_ms,
                retries=load.retries,
                pause_ms=load.pause_ms,
                honour_retry_after=load.honours_retry_after,
            ),
            arrivals="paced" if load.paced else "poisson",
            seed=seed * SEEDS_PER_RUN + number,
        )
        for number, load in enumerate(scenario.loads.values())
    }


def call_mix(scenario, share):
    """Return the specification of one share of a load."""
    call = scenario.call(share)
    return CallMix(
        name=share.name,
        importance=call.importance,
        service=share.service,
        path=PLACEHOLDER.sub("{n}", call.path),
        method=call.method,
        weight=share.percent,
        key=key_of(call),
    )


def key_of(call):
    """Return the kind of idempotency key that requests of a call have."""
    if not call.once:
        return "none"
    return "minted" if call.once == "token" else "own"


def load_phases(scenario, load):
    """Return a load's rates over time, multiplied by the surges' factors."""
    surges = [
        fault
        for fault in scenario.faults
        if fault.kind == "surge" and fault.subject in ("", load.name)
    ]
    boundaries = [
        time for surge in surges for time in (surge.start_seconds, surge.end_seconds)
    ]
    result, start = [], 0.0
    for phase in load.phases:
        for since, until in pairwise(rate_changes(phase, start, boundaries)):
            middle = (since + until) / 2
            rate = rate_at(phase, middle - start)
            for surge in surges:
                rate *= surge.value if surge.is_active(middle) else 1.0
            result.append(Phase(seconds=until - since, rate=rate))
        start += phase.seconds
    return result


def rate_at(phase, elapsed_seconds):
    """Return the rate of a phase at a time after its start."""
    increase = (phase.end_rate - phase.start_rate) * elapsed_seconds / phase.seconds
    return phase.start_rate + increase


def rate_changes(phase, start, boundaries):
    """Return the sorted times at which the rate of a phase may change.

    These are its start and end, the steps that approximate a ramp, and the
    boundaries within the phase. All times are seconds of the load.
    """
    end = start + phase.seconds
    steps = 1
    if phase.start_rate != phase.end_rate:
        steps = max(1, round(phase.seconds / RAMP_STEP_SECONDS))
    within = {time for time in boundaries if start < time < end}
    regular = {start + phase.seconds * step / steps for step in range(steps)}
    return sorted(within | regular | {end})
