"""Checks that no daemon permanently rejects a valid request."""

from papayabay_bench.history.records import Answered, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "denied"
CLIENT_ERRORS = range(400, 500)
RETRYABLE_STATUSES = frozenset({408, 409, 421, 429})
KEY_CONFLICT_STATUS = 422
"""Expected for the `conflict` operation, which sends another body with a key
that was used before."""


def violations(history, limits):
    """Yield the attempts that a daemon rejected."""
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    for answer in history.of_type(Answered):
        if answer.attempt not in invocations or not is_denial(answer):
            continue
        reason = f"rejected with status {answer.status} ({answer.kind}), but valid"
        trace = ordered_trace([invocations[answer.attempt], answer])
        yield Violation(RULE, answer.attempt, reason, trace)


def is_denial(answer):
    """Return whether a daemon told its caller not to retry the request."""
    return (
        bool(answer.kind)
        and answer.status in CLIENT_ERRORS
        and answer.status not in RETRYABLE_STATUSES
        and answer.status != KEY_CONFLICT_STATUS
    )
