"""A key takes each of its effects at most once."""

from collections import defaultdict

from papayabay_bench.history.records import Effect, Invocation
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "at-most-once"


def violations(history, limits):
    """Yield the effects taken twice or more by one key."""
    taken = defaultdict(list)
    for effect in history.of_type(Effect):
        taken[effect.service, effect.key or effect.attempt, effect.path].append(effect)
    for (service, key, path), effects in taken.items():
        if len(effects) > 1:
            reason = f"{len(effects)} effects of {path} at {service}"
            yield Violation(RULE, key, reason, trace_of(history, effects[:2]))


def trace_of(history, effects):
    """Return the attempts that led to effects, and the effects."""
    attempts = {effect.attempt for effect in effects}
    sent = [one for one in history.of_type(Invocation) if one.attempt in attempts]
    return ordered_trace(sent + effects)
