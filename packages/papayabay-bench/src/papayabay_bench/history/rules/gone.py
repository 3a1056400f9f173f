"""Nothing begins for a client that has left.

Requests with a key aren't judged: their effect is wanted all the same, by the
client's next attempt.
"""

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import Answered, Arrival, Invocation, Outcome
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "gone"


def violations(history, limits):
    """Yield the calls that reached a target after their client had left."""
    pauses = fault_intervals(history, "pause")
    sent = {one.attempt: one for one in history.of_type(Invocation) if not one.key}
    left = {
        one.attempt: one
        for one in history.of_type(Answered)
        if one.outcome == Outcome.TIMED_OUT.value and one.attempt in sent
    }
    for arrival in history.of_type(Arrival):
        answer = left.get(arrival.attempt)
        if answer is None or arrival.began <= answer.time + limits.cancellation_seconds:
            continue
        # A paused process reads of the client's leaving when it goes on.
        if any(one.overlaps(answer.time, arrival.began) for one in pauses):
            continue
        seconds = arrival.began - answer.time
        reason = f"reached {arrival.target} {seconds:.2f} s after its client left"
        trace = ordered_trace([sent[arrival.attempt], answer, arrival])
        yield Violation(RULE, arrival.attempt, reason, trace)
