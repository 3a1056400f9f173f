"""No daemon denies a proper request for good."""

from papayabay_bench.history.records import Answered, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "denied"
CALLERS_FAULT = range(400, 500)
MAY_COME_BACK = frozenset({408, 409, 421, 429})
KEY_CONFLICT = 422
"""Told where a client sent another body under a used key, as some do here."""


def violations(history, limits):
    """Yield the attempts that a daemon itself denied."""
    sent = {one.attempt: one for one in history.of_type(Invocation)}
    for answer in history.of_type(Answered):
        if answer.attempt not in sent or not is_denial(answer):
            continue
        reason = f"told {answer.status} ({answer.kind}), though it is proper"
        trace = ordered_trace([sent[answer.attempt], answer])
        yield Violation(RULE, answer.attempt, reason, trace)


def is_denial(answer):
    """Return whether a daemon's own answer tells its caller to give up."""
    return (
        bool(answer.kind)
        and answer.status in CALLERS_FAULT
        and answer.status not in MAY_COME_BACK
        and answer.status != KEY_CONFLICT
    )
