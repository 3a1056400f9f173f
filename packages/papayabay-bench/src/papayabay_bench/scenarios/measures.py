"""The measures that a scenario can expect something of."""

from collections.abc import Callable
from dataclasses import dataclass

from papayabay_bench.load.results import Outcome
from papayabay_bench.measures.effects import (
    denied_effects,
    doubled_effects,
    lost_effects,
)
from papayabay_bench.measures.goodput import (
    due_within,
    good_share,
    goodput,
    latency_histogram,
    percentile_ms,
)
from papayabay_bench.measures.recovery import time_back
from papayabay_bench.measures.waste import wasted_share
from papayabay_bench.measures.windows import Window
from papayabay_bench.scenarios.bound import achievable_rate
from papayabay_bench.scenarios.retries import most_retries
from papayabay_bench.scenarios.samples import inversions
from papayabay_bench.targets.records import End

WINDOWS = ("before", "overload", "after", "whole")
WARM_UP = 1.0
"""Seconds at a load's begin that count as neither normal nor overloaded:
connections are opened and service times learned."""


@dataclass(slots=True)
class RunData:
    """All that was seen of a run.

    Attributes
    ----------
    segments : list of Segment
        The bound, moment by moment.
    windows : dict of str to Window
        By name; `before`, `overload` and `after` only with a trigger.
    """

    scenario: object
    requests: list
    executions: list
    effects: list
    samples: list
    segments: list
    windows: dict[str, Window]

    def of(self, importance, window):
        """Return the requests of a class that were due in a window."""
        return of_class(due_within(self.requests, window), importance)

    def bound(self, window, importance=None):
        """Return the requests per second that fit in a window."""
        return achievable_rate(self.segments, window, importance, self.scenario)


def of_class(requests, importance):
    """Return the requests of a class; all without one."""
    if importance is None:
        return requests
    return [request for request in requests if request.importance == importance]


def windows_of(scenario, starts_at):
    """Return the stretches of a run by name."""
    ends = starts_at + scenario.seconds
    found = {"whole": Window(starts_at, ends)}
    if scenario.trigger:
        begins, stops = (starts_at + moment for moment in scenario.trigger)
        warm = min(starts_at + WARM_UP, begins)
        found["before"] = Window(warm, begins)
        found["overload"] = Window(begins, stops)
        found["after"] = Window(stops, ends)
    return found


def goodput_rate(run_data, importance, window):
    """Return the whole requests per second that ended well in a window."""
    if not window.seconds:
        return None
    return goodput(of_class(run_data.requests, importance), window)


def good_share_of(run_data, importance, window):
    """Return the share of the requests due that ended well."""
    due = run_data.of(importance, window)
    return good_share(due) if due else None


def recovery(run_data, importance, window):
    """Return the time back to normal goodput."""
    requests = of_class(run_data.requests, importance)
    before = run_data.windows["before"]
    if not any(request.good for request in due_within(requests, before)):
        return None
    return time_back(requests, before, run_data.windows["after"])


def wasted(run_data, importance, window):
    """Return the share of slot time that bought no good answer."""
    return wasted_share(run_data.of(importance, window), run_data.executions)


def retries(run_data, importance, window):
    """Return the largest number of the system's retries of one request."""
    return most_retries(run_data.of(importance, window), run_data.executions)


def doubled(run_data, importance, window):
    """Return the number of effects taken more than once."""
    return len(doubled_effects(run_data.effects))


def lost(run_data, importance, window):
    """Return the number of confirmed effects that were never taken."""
    calls = effect_calls(run_data.scenario)
    due = run_data.of(importance, window)
    return len(lost_effects(due, run_data.effects, calls))


def effect_calls(scenario):
    """Return the names of the calls that take an effect."""
    return {
        f"{service.name}.{call.name}"
        for service in scenario.services.values()
        for call in service.calls.values()
        if call.effect
    }


def denied(run_data, importance, window):
    """Return the number of effects whose caller was told `not-run`."""
    return len(denied_effects(run_data.of(importance, window), run_data.effects))


def refused(run_data, importance, window):
    """Return the number of attempts that were refused within a window.

    The answer's moment decides, not the request's: a request that came
    just before an overload is refused in the midst of it.
    """
    return sum(
        attempt.outcome == Outcome.REFUSED.value and window.holds(attempt.ended)
        for request in of_class(run_data.requests, importance)
        for attempt in request.attempts
    )


def crossed(run_data, importance, window):
    """Return the number of answers that were another's, or torn."""
    due = run_data.of(importance, window)
    at_callers = sum(
        attempt.outcome == Outcome.WRONG.value
        for request in due
        for attempt in request.attempts
    )
    at_targets = sum(
        execution.end == End.CROSSED.value for execution in run_data.executions
    )
    return at_callers + at_targets


def unsent(run_data, importance, window):
    """Return the number of requests that the load tool could not send."""
    return sum(
        request.outcome == Outcome.UNSENT.value
        for request in run_data.of(importance, window)
    )


def late(run_data, importance, window):
    """Return the 99th percentile of the load tool's own lateness."""
    due = run_data.of(importance, window)
    return percentile([request.lateness_ms for request in due], 99)


def latency(percent):
    """Return the measure of a percentile of good requests' latency."""

    def compute(run_data, importance, window):
        due = run_data.of(importance, window)
        return percentile([one.latency_ms for one in due if one.good], percent)

    return compute


def percentile(milliseconds, percent):
    """Return a percentile in seconds; None of nothing."""
    if not milliseconds:
        return None
    return percentile_ms(latency_histogram(milliseconds), percent) / 1_000


@dataclass(frozen=True, slots=True)
class Measure:
    """How a measure is computed, and in which stretch by default."""

    compute: Callable
    window: str = "whole"


MEASURES = {
    "goodput": Measure(goodput_rate, "overload"),
    "good": Measure(good_share_of, "overload"),
    "recovery": Measure(recovery, "after"),
    "wasted": Measure(wasted, "overload"),
    "inversions": Measure(
        lambda run_data, importance, window: inversions(run_data.samples, window),
        "overload",
    ),
    "retries": Measure(retries),
    "doubled": Measure(doubled),
    "lost": Measure(lost),
    "denied": Measure(denied),
    "refused": Measure(refused, "before"),
    "crossed": Measure(crossed),
    "unsent": Measure(unsent),
    "late": Measure(late),
    "p50": Measure(latency(50)),
    "p99": Measure(latency(99)),
}
"""Every measure by its word in an `expect` line."""
