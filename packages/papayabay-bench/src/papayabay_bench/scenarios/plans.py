"""What a scenario asks of the fleet, the policy and the load tool."""

import re
from itertools import pairwise

from papayabay_bench.fleet.plan import FleetPlan, ServicePlan
from papayabay_bench.load.specification import CallMix, LoadSpec, Patience, Phase
from papayabay_bench.scenarios.policies import decisions_of
from papayabay_bench.targets.specification import CallPath, OutgoingCall, ServiceTime

RAMP_STEP = 0.2
SEEDS_PER_RUN = 1_000
PLACEHOLDER = re.compile(r"\{[^/{}]*\}|\*$")


def fleet_plan(scenario, seed):
    """Return the fleet that a scenario needs."""
    return FleetPlan(
        services=[service_plan(scenario, one) for one in scenario.services.values()],
        failure_domains=scenario.domains,
        entries=scenario.entries,
        seed=seed,
        log_level="NOTICE",
    )


def service_plan(scenario, service):
    """Return the plan of one service and its targets."""
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
    """Return what a target does for a call."""
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
    """Return one call that a target makes."""
    call = scenario.call(step)
    return OutgoingCall(
        service=step.service,
        path=PLACEHOLDER.sub("1", call.path),
        method=call.method,
        repeats=step.retries,
    )


def policy_document(scenario, policy):
    """Return the policy document of a scenario under a policy.

    The policy's own decisions go before those of the scenario, so that a
    baseline stays what its name says.
    """
    return {
        "decisions": scenario.decisions | decisions_of(policy),
        "services": {
            service.name: declaration(service) for service in scenario.services.values()
        },
    }


def declaration(service):
    """Return what policy declares of a service."""
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
    """Return what policy declares of a call."""
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
    """Return what each load offers, by its name.

    Parameters
    ----------
    scenario : Scenario
    entries : list of str
        Caller doors.
    seed : int
        Every load of every run gets another one of it.
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
    """Return one kind of request of a load."""
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
    """Return which kind of key requests of a call bring."""
    if not call.once:
        return "none"
    return "minted" if call.once == "token" else "own"


def load_phases(scenario, load):
    """Return a load's rates over time, surges taken in."""
    surges = [
        fault
        for fault in scenario.faults
        if fault.kind == "surge" and fault.subject in ("", load.name)
    ]
    marks = [
        mark for surge in surges for mark in (surge.start_seconds, surge.end_seconds)
    ]
    found, begins = [], 0.0
    for phase in load.phases:
        for since, until in pairwise(cuts(phase, begins, marks)):
            middle = (since + until) / 2
            rate = rate_at(phase, middle - begins)
            for surge in surges:
                rate *= surge.value if surge.is_active(middle) else 1.0
            found.append(Phase(seconds=until - since, rate=rate))
        begins += phase.seconds
    return found


def rate_at(phase, passed):
    """Return the rate of a stretch when some of its seconds are past."""
    grown = (phase.end_rate - phase.start_rate) * passed / phase.seconds
    return phase.start_rate + grown


def cuts(phase, begins, marks):
    """Return where a stretch's rate changes: steps of ramps, and marks."""
    ends = begins + phase.seconds
    steps = 1
    if phase.start_rate != phase.end_rate:
        steps = max(1, round(phase.seconds / RAMP_STEP))
    within = {mark for mark in marks if begins < mark < ends}
    regular = {begins + phase.seconds * step / steps for step in range(steps)}
    return sorted(within | regular | {ends})
