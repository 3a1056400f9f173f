"""Validates what the grammar can't check: names, sums and ranges."""

from itertools import chain, combinations

from papayabay_bench.scenarios.errors import Position, ScenarioError
from papayabay_bench.scenarios.expectations import check_expectation

FILE_START = Position(1, 1)
SHARE_TOLERANCE = 0.001


def check_scenario(scenario):
    """Validate a scenario.

    Raises
    ------
    ScenarioError
        For the first error found.
    """
    require(scenario.name, 'Missing scenario name: scenario "…".', FILE_START)
    require(scenario.scale, 'Missing scale: scale "…".', FILE_START)
    require(scenario.services, "A scenario needs at least one service.", FILE_START)
    require(scenario.loads, "A scenario needs at least one load.", FILE_START)
    require(scenario.domains >= 1, "domains must be at least 1.", FILE_START)
    for service in scenario.services.values():
        check_service(scenario, service)
    check_acyclic(scenario)
    for load in scenario.loads.values():
        check_load(scenario, load)
    for fault in scenario.faults:
        check_fault(scenario, fault)
    check_overlaps(scenario.faults)
    for expectation in scenario.expectations:
        check_expectation(scenario, expectation)


def require(condition, message, position):
    """Raise `ScenarioError` unless a condition is true."""
    if not condition:
        raise ScenarioError(message, position)


def check_service(scenario, service):
    """Validate a service and its calls."""
    require(service.calls, f"Service {service.name} has no call.", service.position)
    require(service.upstreams >= 1, "upstreams must be at least 1.", service.position)
    require(service.slots >= 1, "slots must be at least 1.", service.position)
    for call in service.calls.values():
        for step in call.steps:
            check_call_reference(scenario, step)
    for one, other in combinations(service.calls.values(), 2):
        message = f"Calls {one.name} and {other.name} have the same path prefix."
        require(one.prefix != other.prefix, message, other.position)


def check_call_reference(scenario, reference):
    """Check that the call that a step or a share refers to is defined."""
    service = scenario.services.get(reference.service)
    require(service, f"There is no service {reference.service}.", reference.position)
    message = f"Service {reference.service} has no call {reference.call}."
    require(reference.call in service.calls, message, reference.position)


def check_acyclic(scenario):
    """Check that the call graph has no cycle."""
    for service in scenario.services.values():
        for call in service.calls.values():
            check_path(scenario, call, ())


def check_path(scenario, call, ancestors):
    """Check that a call and the calls below it aren't among its ancestors."""
    message = f"Call {call.name} calls itself, directly or through other calls."
    require(all(call is not one for one in ancestors), message, call.position)
    for step in call.steps:
        check_path(scenario, scenario.call(step), (*ancestors, call))


def check_load(scenario, load):
    """Validate the mix and the rates of a load."""
    require(load.mix, f"Load {load.name} has no mix.", load.position)
    require(load.phases, f"Load {load.name} has no rate.", load.position)
    for share in load.mix:
        check_call_reference(scenario, share)
    total = sum(share.percent for share in load.mix)
    message = f"The shares of load {load.name} sum to {total:.1%}, not 100 %."
    require(abs(total - 1.0) < SHARE_TOLERANCE, message, load.position)


def check_fault(scenario, fault):
    """Validate the subject, the start and the factor of a fault."""
    known = subjects(scenario, fault)
    message = f"There is no {fault.subject}; allowed are {', '.join(sorted(known))}."
    require(fault.subject in known, message, fault.position)
    message = "The fault starts after the end of the load."
    require(fault.start_seconds < scenario.seconds, message, fault.position)
    if fault.kind in ("slow", "surge"):
        require(fault.value > 0, "The factor must be more than 0.", fault.position)


def subjects(scenario, fault):
    """Return the names of everything that a kind of fault can affect.

    For a `surge`, an empty name means all loads.
    """
    if fault.kind in ("slow", "lie", "shed", "limit"):
        return set(scenario.services)
    if fault.kind == "surge":
        return {"", *scenario.loads}
    if fault.kind == "lose":
        return {f"domain-{number}" for number in range(scenario.domains)}
    if fault.kind.startswith("store"):
        return {"store"}
    entries = (f"entry-{number}" for number in range(scenario.entries))
    daemons = entries if fault.value == "daemon" else ()
    return set(chain(target_names(scenario), daemons))


def target_names(scenario):
    """Yield the names of all targets of a scenario."""
    for service in scenario.services.values():
        for number in range(service.upstreams):
            yield f"{service.name}-{number}"


def check_overlaps(faults):
    """Check that faults that would replace each other don't overlap.

    Surges may overlap, since their factors are multiplied.
    """
    for one, other in combinations(faults, 2):
        disjoint = (
            one.end_seconds <= other.start_seconds
            or other.end_seconds <= one.start_seconds
        )
        same = controlled_state(one) == controlled_state(other)
        message = f"The fault of line {one.position.line} is still active then."
        require(disjoint or not same or one.kind == "surge", message, other.position)


def controlled_state(fault):
    """Return a key for the state that a fault sets and resets.

    All faults of the store share one state.
    """
    kind = "store" if fault.kind.startswith("store") else fault.kind
    return kind, fault.subject, fault.value if kind in ("kill", "drain") else None
