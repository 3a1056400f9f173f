"""Targets run what a client sent, unchanged, and nothing else."""

from papayabay_bench.history.records import Arrival, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "asked"


def violations(history, limits):
    """Yield the arrivals that no client sent so."""
    sent = {one.attempt: one for one in history.of_type(Invocation)}
    for arrival in history.of_type(Arrival):
        invocation = sent.get(arrival.attempt)
        reason = objection(invocation, arrival)
        if reason:
            records = [arrival] if invocation is None else [invocation, arrival]
            trace = ordered_trace(records)
            yield Violation(RULE, arrival.attempt, reason, trace)


def objection(invocation, arrival):
    """Return what is wrong with an arrival, or ""."""
    if invocation is None:
        return f"{arrival.target} ran what nobody sent"
    # The calls that targets make for a request have paths of their own.
    if arrival.service == invocation.service and arrival.path != invocation.path:
        return f"{arrival.target} was asked for {arrival.path}, not {invocation.path}"
    return ""
