"""Checks that targets run only calls that a client sent, unchanged."""

from papayabay_bench.history.records import Arrival, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "asked"


def violations(history, limits):
    """Yield the arrivals that don't match a request of a client."""
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    for arrival in history.of_type(Arrival):
        invocation = invocations.get(arrival.attempt)
        reason = mismatch(invocation, arrival)
        if reason:
            records = [arrival] if invocation is None else [invocation, arrival]
            trace = ordered_trace(records)
            yield Violation(RULE, arrival.attempt, reason, trace)


def mismatch(invocation, arrival):
    """Return how an arrival differs from its invocation, or ""."""
    if invocation is None:
        return f"{arrival.target} ran a call that no client sent"
    # Calls that targets make for a request go to another service and path.
    if arrival.service == invocation.service and arrival.path != invocation.path:
        return (
            f"{arrival.target} got path {arrival.path}, "
            f"but the client sent {invocation.path}"
        )
    return ""
