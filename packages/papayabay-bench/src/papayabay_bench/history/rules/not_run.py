"""Checks that an attempt that was answered `not-run` was not run.

The answer is about that attempt only: a retry may be refused after an
earlier attempt with the same key has run. Targets record the attempt that
they work for, which distinguishes the two.
"""

from collections import defaultdict

from papayabay_bench.history.records import Answered, Arrival, Effect, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "not-run"
NOT_RUN = "not-run"
NOTHING_DONE = frozenset({"shed", "undone"})
"""Ends of a call for which the target states that it did no work."""


def violations(history, limits):
    """Yield attempts answered `not-run` for which a target did work."""
    work = defaultdict(list)
    for record in history.of_type(Arrival, Effect):
        if not (isinstance(record, Arrival) and record.end in NOTHING_DONE):
            work[record.attempt].append(record)
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    for answer in history.of_type(Answered):
        done = work.get(answer.attempt)
        if answer.effect == NOT_RUN and done:
            records = (
                [invocations[answer.attempt]] if answer.attempt in invocations else []
            )
            records += [answer, *done]
            reason = f"answered not-run ({answer.kind}), but {done[0].target} ran it"
            yield Violation(RULE, answer.attempt, reason, ordered_trace(records))
