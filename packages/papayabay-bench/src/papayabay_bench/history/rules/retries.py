"""Checks that the retries of a request, over all hops, are within its limit.

A nonce identifies a call within the call tree of one execution: attempts of
the same call share it, and calls made by another execution have another one.
All arrivals with the same nonce except the first are therefore retries,
whichever hop made them.
"""

from collections import defaultdict

from papayabay_bench.history.records import Arrival, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "retries"


def violations(history, limits):
    """Yield the attempts with more retries than the limit."""
    arrivals = defaultdict(lambda: defaultdict(list))
    for arrival in history.of_type(Arrival):
        arrivals[arrival.attempt][arrival.nonce].append(arrival)
    invocations = {one.attempt: one for one in history.of_type(Invocation)}
    for attempt, by_nonce in arrivals.items():
        retries = [one for group in by_nonce.values() for one in group[1:]]
        if len(retries) > limits.retries:
            repeated = [group for group in by_nonce.values() if len(group) > 1]
            records = [one for group in repeated for one in group]
            records += [invocations[attempt]] if attempt in invocations else []
            reason = f"{len(retries)} retries, at most {limits.retries} allowed"
            yield Violation(RULE, attempt, reason, ordered_trace(records))
