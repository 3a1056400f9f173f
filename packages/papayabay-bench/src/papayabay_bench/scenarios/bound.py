"""Computes an upper bound of a fleet's goodput over the time of a run.

The run is divided into segments at each begin and end of a fault. Within a
segment, the capacity of a service is the number of slots of its available
upstreams. A request needs slot time at a service: the number of its calls
there, times the time that a call holds a slot, times the factor of an
active `slow` fault. A target that holds its slot while its outgoing calls
run needs the time of these calls too, without any queueing.

Capacity is allocated to the offered requests by importance class, the most
important first. Within a class the same share of every call is admitted,
until a service that the call uses is full.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from papayabay_bench.fleet.plan import failure_domain_of
from papayabay_bench.measures.capacity import Graph
from papayabay_bench.measures.windows import Window
from papayabay_bench.scenarios.plans import fleet_plan

CLASSES = ("critical", "normal", "sheddable")
EPSILON = 1e-9
UNAVAILABLE_KINDS = ("kill", "freeze", "pause", "lose")
"""Kinds of fault that make upstreams unavailable while they are active."""


@dataclass(slots=True)
class Segment:
    """A part of a run in which capacity and active faults are constant.

    Attributes
    ----------
    window : Window
    offered, achievable : dict of str to float
        Requests per second by call: offered, and completed at best.
    needs : dict of str to dict of str to float
        Slot seconds of one request at each service, by call.
    slots : dict of str to int
        Available slots of each service.
    """

    window: Window
    offered: dict[str, float]
    needs: dict[str, dict[str, float]]
    slots: dict[str, int]
    achievable: dict[str, float] = field(default_factory=dict)


def segments(scenario, requests, load_window):
    """Return the segments of a run.

    Parameters
    ----------
    scenario : Scenario
    requests : list of Request
    load_window : Window
        Time from the start to the end of the load.
    """
    boundaries = {0.0, scenario.seconds}
    boundaries |= {
        time
        for fault in scenario.faults
        for time in (fault.start_seconds, fault.end_seconds)
    }
    if scenario.trigger:
        boundaries |= set(scenario.trigger)
    within_run = sorted(time for time in boundaries if 0.0 <= time <= scenario.seconds)
    return [
        make_segment(scenario, requests, load_window, start, end)
        for start, end in pairwise(within_run)
        if end - start > EPSILON
    ]


def make_segment(scenario, requests, load_window, start, end):
    """Return the segment between two times in seconds of the load."""
    middle = (start + end) / 2
    faults = [fault for fault in scenario.faults if fault.is_active(middle)]
    plan = fleet_plan(scenario, 0)
    window = Window(load_window.begins + start, load_window.begins + end)
    segment = Segment(
        window=window,
        offered=offered_rates(requests, window),
        needs=needs_of_calls(scenario, plan, slow_factors(faults)),
        slots=available_slots(scenario, plan, faults),
    )
    segment.achievable = achievable_rates(scenario, segment)
    return segment


def offered_rates(requests, window):
    """Return the requests per second of each call that were due."""
    counts = Counter(request.call for request in requests if window.holds(request.due))
    return {name: number / window.seconds for name, number in counts.items()}


def slow_factors(faults):
    """Return the service time factors of the services with a `slow` fault."""
    return {fault.subject: fault.value for fault in faults if fault.kind == "slow"}


def needs_of_calls(scenario, plan, slow):
    """Return the slot seconds of one request at each service, by call."""
    graph = Graph(plan.services, slow)
    needs = {}
    for service in scenario.services.values():
        for call in service.calls.values():
            needed = defaultdict(float)
            graph.add_needs(needed, service.name, call.prefix, 1.0)
            needs[f"{service.name}.{call.name}"] = dict(needed)
    return needs


def available_slots(scenario, plan, faults):
    """Return the slots of each service at its available upstreams."""
    unavailable = {
        name
        for fault in faults
        for name in unavailable_upstreams(scenario, plan, fault)
    }
    return {
        service.name: service.slots
        * sum(
            f"{service.name}-{number}" not in unavailable
            for number in range(service.upstreams)
        )
        for service in plan.services
    }


def unavailable_upstreams(scenario, plan, fault):
    """Yield the upstreams that are unavailable while a fault is active."""
    is_drain = fault.kind == "drain" and fault.duration_seconds is not None
    if fault.kind not in UNAVAILABLE_KINDS and not is_drain:
        return
    for service in scenario.services.values():
        for number in range(service.upstreams):
            name = f"{service.name}-{number}"
            if fault.subject in (name, failure_domain_of(plan, name)):
                yield name


def achievable_rates(scenario, segment):
    """Return the achievable requests per second of each call."""
    free_slots = dict(segment.slots)
    achievable = {}
    for importance in CLASSES:
        names = [
            name
            for name, rate in segment.offered.items()
            if rate and importance_of(scenario, name) == importance
        ]
        achievable |= allocate_class(segment, names, free_slots)
    return achievable


def importance_of(scenario, name):
    """Return the importance class of a call."""
    service, _, call = name.partition(".")
    return scenario.services[service].calls[call].importance


def allocate_class(segment, names, free_slots):
    """Allocate slots to the calls of one class; return their rates.

    All calls are increased by the same share of their offered rate until
    each is fully admitted or a service that it uses has no free slot. The
    slots that they take are subtracted from `free_slots`.
    """
    shares = dict.fromkeys(names, 0.0)
    increasing = set(names)
    while increasing:
        load = offered_slots(segment, increasing)
        step = largest_step(
            load, free_slots, 1.0 - max(shares[name] for name in increasing)
        )
        for name in increasing:
            shares[name] += step
        for service, needed in load.items():
            free_slots[service] -= needed * step
        full = {service for service in load if free_slots[service] <= EPSILON}
        finished = {
            name
            for name in increasing
            if shares[name] >= 1.0 - EPSILON or full & set(segment.needs[name])
        }
        increasing -= finished
    return {name: segment.offered[name] * share for name, share in shares.items()}


def offered_slots(segment, names):
    """Return the slots that all offered requests of some calls would need."""
    load = defaultdict(float)
    for name in names:
        for service, seconds in segment.needs[name].items():
            load[service] += seconds * segment.offered[name]
    return {service: needed for service, needed in load.items() if needed}


def largest_step(load, free_slots, limit):
    """Return the largest share of a load that fits into the free slots.

    The result is at most `limit`.
    """
    return min(
        [limit, *(max(0.0, free_slots[name]) / needed for name, needed in load.items())]
    )


def achievable_rate(segments, window, importance=None, scenario=None):
    """Return the mean achievable requests per second within a window."""
    total = 0.0
    for segment in segments:
        start = max(segment.window.begins, window.begins)
        end = min(segment.window.ends, window.ends)
        if end <= start:
            continue
        total += (end - start) * sum(
            rate
            for name, rate in segment.achievable.items()
            if importance is None or importance_of(scenario, name) == importance
        )
    return total / window.seconds if window.seconds else 0.0


def explain(segments, load_start):
    """Return text lines that show how each segment's bound was computed.

    Their times are seconds from `load_start`.
    """
    return [
        line for segment in segments for line in explain_segment(segment, load_start)
    ]


def explain_segment(segment, load_start):
    """Yield the text lines of one segment, its bottleneck service first."""
    window = segment.window
    offered = sum(segment.offered.values())
    achievable = sum(segment.achievable.values())
    yield (
        f"{window.begins - load_start:5.1f} s to {window.ends - load_start:.1f} s: "
        f"offered {offered:.0f}/s, at best {achievable:.0f}/s"
    )
    load = offered_slots(segment, segment.offered)
    for service in sorted(load, key=lambda name: segment.slots[name] / load[name]):
        slots = segment.slots[service]
        per_request = load[service] / offered
        yield (
            f"    {service}: {slots} slots ÷ {per_request * 1_000:.1f} ms a request "
            f"of this mix = {slots / per_request:.0f}/s"
        )
