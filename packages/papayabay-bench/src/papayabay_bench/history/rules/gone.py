"""Checks that no call is started for a client that has disconnected.

Requests with an idempotency key are left out: they run to completion, so
that the client's next attempt gets their result.
"""

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import Answered, Arrival, Invocation, Outcome
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "gone"


def violations(history, limits):
    """Yield the calls that reached a target after their client's time-out.

    A client disconnects when its attempt times out.
    """
    pauses = fault_intervals(history, "pause")
    invocations = {
        one.attempt: one for one in history.of_type(Invocation) if not one.key
    }
    timed_out = {
        one.attempt: one
        for one in history.of_type(Answered)
        if one.outcome == Outcome.TIMED_OUT.value and one.attempt in invocations
    }
    for arrival in history.of_type(Arrival):
        answer = timed_out.get(arrival.attempt)
        if answer is None or arrival.began <= answer.time + limits.cancellation_seconds:
            continue
        # A paused process notices the disconnect only after it resumes.
        if any(one.overlaps(answer.time, arrival.began) for one in pauses):
            continue
        seconds = arrival.began - answer.time
        reason = f"reached {arrival.target} {seconds:.2f} s after its client timed out"
        trace = ordered_trace([invocations[arrival.attempt], answer, arrival])
        yield Violation(RULE, arrival.attempt, reason, trace)
