"""A graceful shutdown cuts off no request in flight.

Judged where no other fault could have cut the request: not while, or
shortly before, any process was paused, killed or silent.
"""

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import Answered, Invocation, Outcome
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "draining"
CUTTING_KINDS = frozenset({"link-lost", "target-lost", "caller-left", "internal"})
HARD_FAULTS = ("pause", "kill", "silence", "crash")
HARD_FAULT_SECONDS = 3.0


def violations(history, limits):
    """Yield the requests that were cut while a daemon drained."""
    drains = fault_intervals(history, "drain")
    hard = fault_intervals(history, *HARD_FAULTS)
    sent = {one.attempt: one for one in history.of_type(Invocation)}
    for answer in history.of_type(Answered):
        invocation = sent.get(answer.attempt)
        if invocation is None or not is_cut(answer):
            continue
        drain = drain_over(drains, invocation, answer)
        start = invocation.time - HARD_FAULT_SECONDS
        if drain is None or any(one.overlaps(start, answer.time) for one in hard):
            continue
        trace = ordered_trace([drain.records[0], invocation, answer])
        reason = f"{answer.outcome} {answer.kind} while {drain.subject} drained"
        yield Violation(RULE, answer.attempt, reason, trace)


def is_cut(answer):
    """Return whether an answer shows a request that was cut off."""
    return answer.outcome == Outcome.CUT.value or answer.kind in CUTTING_KINDS


def drain_over(drains, invocation, answer):
    """Return a drain under way during a call, or None.

    A broken connection counts only against the daemon that was called.
    """
    for drain in drains:
        if not drain.overlaps(invocation.time, answer.time):
            continue
        if answer.outcome == Outcome.CUT.value and drain.subject != invocation.entry:
            continue
        return drain
    return None
