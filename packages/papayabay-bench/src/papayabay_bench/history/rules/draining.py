"""Checks that a graceful shutdown interrupts no request in flight.

Requests are left out that another fault could have interrupted: during or
shortly before them a daemon was paused, killed or silenced, or a target
crashed.
"""

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import Answered, Invocation, Outcome
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "draining"
INTERRUPTED_KINDS = frozenset({"link-lost", "target-lost", "caller-left", "internal"})
HARD_FAULTS = ("pause", "kill", "silence", "crash")
HARD_FAULT_SECONDS = 3.0
"""Time before a request in which a hard fault may still affect it."""


def violations(history, limits):
    """Yield the requests that were interrupted while a daemon drained."""
    drains = fault_intervals(history, "drain")
    hard_faults = fault_intervals(history, *HARD_FAULTS)
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    for answer in history.of_type(Answered):
        invocation = invocations.get(answer.attempt)
        if invocation is None or not is_interrupted(answer):
            continue
        drain = find_drain(drains, invocation, answer)
        start = invocation.time - HARD_FAULT_SECONDS
        if drain is None or any(
            one.overlaps(start, answer.time) for one in hard_faults
        ):
            continue
        trace = ordered_trace([drain.records[0], invocation, answer])
        reason = (
            f"ended as {answer.outcome} {answer.kind} while {drain.subject} drained"
        )
        yield Violation(RULE, answer.attempt, reason, trace)


def is_interrupted(answer):
    """Return whether a request was interrupted while in flight."""
    return answer.outcome == Outcome.CUT.value or answer.kind in INTERRUPTED_KINDS


def find_drain(drains, invocation, answer):
    """Return a drain in progress during a request, or None.

    A broken connection can only be caused by the daemon that it led to.
    """
    for drain in drains:
        if not drain.overlaps(invocation.time, answer.time):
            continue
        if answer.outcome == Outcome.CUT.value and drain.subject != invocation.entry:
            continue
        return drain
    return None
