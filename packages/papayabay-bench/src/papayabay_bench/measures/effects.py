"""Effects that were taken more than once."""

from collections import Counter


def effects_by_key(effects):
    """Return how often each effect was taken, by (service, key, path).

    Effects of a request without a key count under the request.
    """
    return Counter(
        (effect.service, effect.key or effect.request, effect.path)
        for effect in effects
    )


def doubled_effects(effects):
    """Return the effects taken more than once, with their number."""
    counted = effects_by_key(effects)
    return {effect: number for effect, number in counted.items() if number > 1}


def lost_effects(requests, effects, calls):
    """Return the keys of good requests whose effect was never taken.

    Parameters
    ----------
    requests : list of Request
    effects : list of EffectRecord
    calls : collection of str
        Names of the calls that take an effect.
    """
    taken = {effect.key for effect in effects}
    return [
        request.key
        for request in requests
        if request.call in calls and request.good and request.key not in taken
    ]


def denied_effects(requests, effects):
    """Return the keys told ``not-run`` throughout that took effect."""
    taken = {effect.key for effect in effects}
    return [
        request.key
        for request in requests
        if request.key in taken
        and request.attempts
        and all(attempt.effect == "not-run" for attempt in request.attempts)
    ]
