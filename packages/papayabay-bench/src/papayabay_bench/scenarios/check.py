"""Checks what the grammar can't: names, sums and impossible numbers."""

from itertools import chain, combinations

from papayabay_bench.scenarios.errors import Position, ScenarioError
from papayabay_bench.scenarios.expectations import check_expectation

FIRST = Position(1, 1)
SHARE_TOLERANCE = 0.001


def check_scenario(scenario):
    """Raise the first fault of a scenario.

    Raises
    ------
    ScenarioError
    """
    require(scenario.name, 'A scenario needs a name: scenario "…".', FIRST)
    require(scenario.scale, 'A scenario names its scale: scale "…".', FIRST)
    require(scenario.services, "A scenario needs a service.", FIRST)
    require(scenario.loads, "A scenario needs a load.", FIRST)
    require(scenario.domains >= 1, "There is at least one domain.", FIRST)
    for service in scenario.services.values():
        check_service(scenario, service)
    check_endless(scenario)
    for load in scenario.loads.values():
        check_load(scenario, load)
    for fault in scenario.faults:
        check_fault(scenario, fault)
    check_overlaps(scenario.faults)
    for expectation in scenario.expectations:
        check_expectation(scenario, expectation)


def require(holds, message, position):
    """Raise unless something holds."""
    if not holds:
        raise ScenarioError(message, position)


def check_service(scenario, service):
    """Check a service and its calls."""
    require(service.calls, f"Service {service.name} has no call.", service.position)
    require(service.upstreams >= 1, "A service needs an upstream.", service.position)
    require(service.slots >= 1, "An upstream needs a slot.", service.position)
    for call in service.calls.values():
        for step in call.steps:
            check_callname(scenario, step)
    for one, other in combinations(service.calls.values(), 2):
        message = f"{one.name} and {other.name} begin with the same path."
        require(one.prefix != other.prefix, message, other.position)


def check_callname(scenario, named):
    """Check that a call that is named exists."""
    service = scenario.services.get(named.service)
    require(service, f"There is no service {named.service}.", named.position)
    message = f"Service {named.service} has no call {named.call}."
    require(named.call in service.calls, message, named.position)


def check_endless(scenario):
    """Check that no call reaches itself again."""
    for service in scenario.services.values():
        for call in service.calls.values():
            follow(scenario, call, ())


def follow(scenario, call, above):
    """Walk down from a call."""
    message = f"Call {call.name} reaches itself again."
    require(all(call is not one for one in above), message, call.position)
    for step in call.steps:
        follow(scenario, scenario.call(step), (*above, call))


def check_load(scenario, load):
    """Check a load's mix and length."""
    require(load.mix, f"Load {load.name} has no mix.", load.position)
    require(load.phases, f"Load {load.name} has no rate.", load.position)
    for share in load.mix:
        check_callname(scenario, share)
    total = sum(share.percent for share in load.mix)
    message = f"The shares of load {load.name} sum to {total:.1%}, not 100 %."
    require(abs(total - 1.0) < SHARE_TOLERANCE, message, load.position)


def check_fault(scenario, fault):
    """Check that a fault happens to something that exists, in time."""
    known = subjects(scenario, fault)
    message = f"There is no {fault.subject}; there is {', '.join(sorted(known))}."
    require(fault.subject in known, message, fault.position)
    message = "The fault begins after the load has ended."
    require(fault.start_seconds < scenario.seconds, message, fault.position)
    if fault.kind in ("slow", "surge"):
        require(fault.value > 0, "A factor is more than 0.", fault.position)


def subjects(scenario, fault):
    """Return the names of what a kind of fault can happen to."""
    if fault.kind in ("slow", "lie", "shed"):
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
    """Yield the names of all targets."""
    for service in scenario.services.values():
        for number in range(service.upstreams):
            yield f"{service.name}-{number}"


def check_overlaps(faults):
    """Check that no switch is thrown twice at a time."""
    for one, other in combinations(faults, 2):
        apart = (
            one.end_seconds <= other.start_seconds
            or other.end_seconds <= one.start_seconds
        )
        same = switch_of(one) == switch_of(other)
        message = f"The fault of line {one.position.line} is still in force."
        require(apart or not same or one.kind == "surge", message, other.position)


def switch_of(fault):
    """Return what a fault switches; the store has one switch for all."""
    kind = "store" if fault.kind.startswith("store") else fault.kind
    return kind, fault.subject, fault.value if kind in ("kill", "drain") else None
