"""Checks that every answer is complete and belongs to its call."""

from papayabay_bench.history.records import Answered, Arrival, Invocation, Outcome
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "answers"
CROSSED = "crossed"


def violations(history, limits):
    """Yield the truncated and misdelivered answers of clients and targets."""
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    for answer in history.of_type(Answered):
        if answer.outcome == Outcome.WRONG.value:
            records = [one for one in (invocations.get(answer.attempt), answer) if one]
            reason = "got an answer that belongs to another call or is truncated"
            yield Violation(RULE, answer.attempt, reason, ordered_trace(records))
    for arrival in history.of_type(Arrival):
        if arrival.end == CROSSED:
            reason = f"{arrival.target} got an answer to an outgoing call that "
            reason += "belongs to another call or is truncated"
            records = [
                one for one in (invocations.get(arrival.attempt), arrival) if one
            ]
            yield Violation(RULE, arrival.attempt, reason, ordered_trace(records))
