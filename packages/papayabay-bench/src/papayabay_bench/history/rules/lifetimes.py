"""Checks that no call is run for a request whose lifetime has expired.

A request's lifetime starts when its entry daemon reads it, so requests that
waited unread at a paused daemon are left out.
"""

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import Arrival, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "lifetimes"


def violations(history, limits):
    """Yield the calls that reached a target after their request expired."""
    pauses = fault_intervals(history, "pause")
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    longest = limits.lifetime_seconds + limits.lifetime_slack_seconds
    for arrival in history.of_type(Arrival):
        invocation = invocations.get(arrival.attempt)
        if invocation is None or arrival.began <= invocation.time + longest:
            continue
        at_entry = (one for one in pauses if one.subject == invocation.entry)
        if any(one.overlaps(invocation.time, arrival.began) for one in at_entry):
            continue
        seconds = arrival.began - invocation.time
        reason = f"reached {arrival.target} {seconds:.2f} s after it was sent"
        trace = ordered_trace([invocation, arrival])
        yield Violation(RULE, arrival.attempt, reason, trace)
