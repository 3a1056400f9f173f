"""The most that a fleet could complete at best, moment by moment.

The stretch is cut wherever a fault begins or ends. In each piece, the
capacity of a service is its slots, over all upstreams that are there. What
a request needs of it is its visits times the time that each holds a slot,
with the slow factors then in force; a target that keeps its slot while its
own calls run holds it for their unqueued time too. The offered requests of
the piece are filled in by importance class; within a class, all calls grow
by the same share until a service they use is full.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from papayabay_bench.fleet.plan import failure_domain_of
from papayabay_bench.measures.capacity import Graph
from papayabay_bench.measures.windows import Window
from papayabay_bench.scenarios.plans import fleet_plan

CLASSES = ("critical", "normal", "sheddable")
FULL = 1e-9
CUTTING = ("kill", "freeze", "pause", "lose")
"""Kinds of fault that take upstreams away for as long as they last."""


@dataclass(slots=True)
class Segment:
    """A stretch in which capacity and faults stay the same.

    Attributes
    ----------
    offered, possible : dict of str to float
        Requests per second by call.
    needs : dict of str to dict of str to float
        Slot seconds of a request at each service, by call.
    slots : dict of str to int
        Slots of each service.
    """

    window: Window
    offered: dict[str, float]
    needs: dict[str, dict[str, float]]
    slots: dict[str, int]
    achievable: dict[str, float] = field(default_factory=dict)


def segments(scenario, requests, whole):
    """Return the pieces of a run.

    Parameters
    ----------
    scenario : Scenario
    requests : list of Request
    whole : Window
        The load.
    """
    marks = {0.0, scenario.seconds}
    marks |= {
        mark
        for fault in scenario.faults
        for mark in (fault.start_seconds, fault.end_seconds)
    }
    if scenario.trigger:
        marks |= set(scenario.trigger)
    kept = sorted(mark for mark in marks if 0.0 <= mark <= scenario.seconds)
    return [
        make_segment(scenario, requests, whole, begins, ends)
        for begins, ends in pairwise(kept)
        if ends - begins > FULL
    ]


def make_segment(scenario, requests, whole, begins, ends):
    """Return the piece between two times of the load."""
    moment = (begins + ends) / 2
    faults = [fault for fault in scenario.faults if fault.is_active(moment)]
    plan = fleet_plan(scenario, 0)
    window = Window(whole.begins + begins, whole.begins + ends)
    made = Segment(
        window=window,
        offered=offered_rates(requests, window),
        needs=needs_of_calls(scenario, plan, slow_factors(faults)),
        slots=slots_left(scenario, plan, faults),
    )
    made.achievable = fill(scenario, made)
    return made


def offered_rates(requests, window):
    """Return the requests per second of each call that were due."""
    counted = Counter(request.call for request in requests if window.holds(request.due))
    return {name: number / window.seconds for name, number in counted.items()}


def slow_factors(faults):
    """Return the factor on the service times of each slowed service."""
    return {fault.subject: fault.value for fault in faults if fault.kind == "slow"}


def needs_of_calls(scenario, plan, slow):
    """Return the slot seconds that one request of each call needs."""
    graph = Graph(plan.services, slow)
    needs = {}
    for service in scenario.services.values():
        for call in service.calls.values():
            needed = defaultdict(float)
            graph.add_needs(needed, service.name, call.prefix, 1.0)
            needs[f"{service.name}.{call.name}"] = dict(needed)
    return needs


def slots_left(scenario, plan, faults):
    """Return the slots of each service without what faults took away."""
    gone = {name for fault in faults for name in taken_away(scenario, plan, fault)}
    return {
        service.name: service.slots
        * sum(
            f"{service.name}-{number}" not in gone
            for number in range(service.upstreams)
        )
        for service in plan.services
    }


def taken_away(scenario, plan, fault):
    """Yield the upstreams that a fault takes away while it lasts."""
    drained = fault.kind == "drain" and fault.duration_seconds is not None
    if fault.kind not in CUTTING and not drained:
        return
    for service in scenario.services.values():
        for number in range(service.upstreams):
            name = f"{service.name}-{number}"
            if fault.subject in (name, failure_domain_of(plan, name)):
                yield name


def fill(scenario, segment):
    """Return the requests per second of each call that fit, by class."""
    room = dict(segment.slots)
    achievable = {}
    for importance in CLASSES:
        names = [
            name
            for name, rate in segment.offered.items()
            if rate and importance_of(scenario, name) == importance
        ]
        achievable |= fill_class(segment, names, room)
    return achievable


def importance_of(scenario, name):
    """Return the class of a call."""
    service, _, call = name.partition(".")
    return scenario.services[service].calls[call].importance


def fill_class(segment, names, room):
    """Fill in the calls of one class and take their needs out of the room."""
    shares = dict.fromkeys(names, 0.0)
    growing = set(names)
    while growing:
        load = load_of(segment, growing)
        grown = growth(load, room, 1.0 - max(shares[name] for name in growing))
        for name in growing:
            shares[name] += grown
        for service, needed in load.items():
            room[service] -= needed * grown
        full = {service for service in load if room[service] <= FULL}
        stopped = {
            name
            for name in growing
            if shares[name] >= 1.0 - FULL or full & set(segment.needs[name])
        }
        growing -= stopped
    return {name: segment.offered[name] * share for name, share in shares.items()}


def load_of(segment, names):
    """Return the slots that the whole offer of some calls would take."""
    load = defaultdict(float)
    for name in names:
        for service, seconds in segment.needs[name].items():
            load[service] += seconds * segment.offered[name]
    return {service: needed for service, needed in load.items() if needed}


def growth(load, room, most):
    """Return by how much all shares can grow until something is full."""
    return min(
        [most, *(max(0.0, room[name]) / needed for name, needed in load.items())]
    )


def achievable_rate(found, window, importance=None, scenario=None):
    """Return the mean requests per second that fit within a window."""
    total = 0.0
    for one in found:
        begins = max(one.window.begins, window.begins)
        ends = min(one.window.ends, window.ends)
        if ends <= begins:
            continue
        total += (ends - begins) * sum(
            rate
            for name, rate in one.achievable.items()
            if importance is None or importance_of(scenario, name) == importance
        )
    return total / window.seconds if window.seconds else 0.0


def explain(found, begins):
    """Return lines that say how the bound of each piece was computed."""
    return [line for segment in found for line in explain_segment(segment, begins)]


def explain_segment(segment, begins):
    """Yield the lines of one piece, its fullest service first."""
    window = segment.window
    offered = sum(segment.offered.values())
    achievable = sum(segment.achievable.values())
    yield (
        f"{window.begins - begins:5.1f} s to {window.ends - begins:.1f} s: "
        f"offered {offered:.0f}/s, at best {achievable:.0f}/s"
    )
    load = load_of(segment, segment.offered)
    for service in sorted(load, key=lambda name: segment.slots[name] / load[name]):
        slots = segment.slots[service]
        per_request = load[service] / offered
        yield (
            f"    {service}: {slots} slots ÷ {per_request * 1_000:.1f} ms a request "
            f"of this mix = {slots / per_request:.0f}/s"
        )
