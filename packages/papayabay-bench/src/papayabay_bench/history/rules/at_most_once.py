"""Checks that each effect is performed at most once per idempotency key."""

from collections import defaultdict

from papayabay_bench.history.records import Effect, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "at-most-once"


def violations(history, limits):
    """Yield the effects that were performed more than once for a key.

    Effects without a key may occur once per attempt.
    """
    by_key = defaultdict(list)
    for effect in history.of_type(Effect):
        by_key[effect.service, effect.key or effect.attempt, effect.path].append(effect)
    for (service, key, path), effects in by_key.items():
        if len(effects) > 1:
            reason = f"{len(effects)} effects of {path} at {service}, at most 1 allowed"
            yield Violation(RULE, key, reason, trace_of(history, effects[:2]))


def trace_of(history, effects):
    """Return the effects and the attempts that caused them."""
    attempts = {effect.attempt for effect in effects}
    invocations = [
        one for one in history.of_type(Invocation) if one.attempt in attempts
    ]
    return ordered_trace(invocations + effects)
