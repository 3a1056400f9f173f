"""Refusals by class and kind."""

from collections import Counter

from papayabay_bench.load.results import Outcome

OF_A_TARGET = "target"


def attempts_by_kind(requests):
    """Return how often attempts of each class ended in each way.

    Returns
    -------
    Counter
        By (class, kind): papayabay's error kind, "target" for a target's
        own refusal, or the outcome where nothing was answered.
    """
    return Counter(
        (request.importance, kind_of(attempt))
        for request in requests
        for attempt in request.attempts
        if attempt.outcome != Outcome.GOOD.value
    )


def kind_of(attempt):
    """Return the name under which an attempt's end is counted."""
    if attempt.kind:
        return attempt.kind
    return OF_A_TARGET if attempt.status else attempt.outcome


def refused_by_class(requests):
    """Return how many whole requests of each class ended refused."""
    return Counter(
        request.importance
        for request in requests
        if request.outcome == Outcome.REFUSED.value
    )
