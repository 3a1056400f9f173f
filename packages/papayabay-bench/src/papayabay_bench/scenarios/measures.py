"""Computes the measures that the `expect` lines of a scenario use."""

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
from papayabay_bench.measures.overrun import overrun
from papayabay_bench.measures.recovery import time_back
from papayabay_bench.measures.waste import wasted_share
from papayabay_bench.measures.windows import Window
from papayabay_bench.scenarios.bound import achievable_rate
from papayabay_bench.scenarios.retries import most_retries
from papayabay_bench.scenarios.samples import counter_increase
from papayabay_bench.targets.records import End

WINDOWS = ("before", "overload", "after", "whole")
WARM_UP_SECONDS = 1.0
"""Time from the start of the load that is in no window but "whole", while
connections are opened and service times are learned."""


@dataclass(slots=True)
class RunData:
    """Everything that was recorded during a run.

    Attributes
    ----------
    requests : list of Request
    executions : list of Execution
    effects : list of EffectRecord
    samples : list of Sample
    segments : list of Segment
        The bound of each part of the run.
    windows : dict of str to Window
        By name; `before`, `overload` and `after` exist only when the
        scenario has a trigger.
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
        """Return the achievable requests per second within a window."""
        return achievable_rate(self.segments, window, importance, self.scenario)


def of_class(requests, importance):
    """Return the requests of a class, or all if the class is None."""
    if importance is None:
        return requests
    return [request for request in requests if request.importance == importance]


def windows_of(scenario, starts_at):
    """Return the windows of a run by name."""
    ends_at = starts_at + scenario.seconds
    windows = {"whole": Window(starts_at, ends_at)}
    if scenario.trigger:
        overload_start, overload_end = (
            starts_at + seconds for seconds in scenario.trigger
        )
        warm_at = min(starts_at + WARM_UP_SECONDS, overload_start)
        windows["before"] = Window(warm_at, overload_start)
        windows["overload"] = Window(overload_start, overload_end)
        windows["after"] = Window(overload_end, ends_at)
    return windows


def goodput_rate(run_data, importance, window):
    """Return the requests per second that succeeded within a window."""
    if not window.seconds:
        return None
    return goodput(of_class(run_data.requests, importance), window)


def good_share_of(run_data, importance, window):
    """Return the share of the requests due in a window that succeeded."""
    due = run_data.of(importance, window)
    return good_share(due) if due else None


def recovery(run_data, importance, window):
    """Return the seconds from the overload's end to normal goodput."""
    requests = of_class(run_data.requests, importance)
    before = run_data.windows["before"]
    if not any(request.good for request in due_within(requests, before)):
        return None
    return time_back(requests, before, run_data.windows["after"])


def wasted(run_data, importance, window):
    """Return the share of slot time that was spent for no good answer."""
    return wasted_share(run_data.of(importance, window), run_data.executions)


def retries(run_data, importance, window):
    """Return the largest number of retries within the system of a request."""
    return most_retries(run_data.of(importance, window), run_data.executions)


def doubled(run_data, importance, window):
    """Return the number of effects that were performed more than once."""
    return len(doubled_effects(run_data.effects))


def lost(run_data, importance, window):
    """Return the number of confirmed effects that were never performed."""
    calls = effect_calls(run_data.scenario)
    due = run_data.of(importance, window)
    return len(lost_effects(due, run_data.effects, calls))


def effect_calls(scenario):
    """Return the names of the calls that perform an effect."""
    return {
        f"{service.name}.{call.name}"
        for service in scenario.services.values()
        for call in service.calls.values()
        if call.effect
    }


def denied(run_data, importance, window):
    """Return the number of effects with only `not-run` answers.

    These effects were performed, contrary to the answers.
    """
    return len(denied_effects(run_data.of(importance, window), run_data.effects))


def refused(run_data, importance, window):
    """Return the number of attempts that were refused within a window.

    The time of the answer counts, not that of the request, since a request
    that was due just before an overload may be refused during it.
    """
    return sum(
        attempt.outcome == Outcome.REFUSED.value and window.holds(attempt.ended)
        for request in of_class(run_data.requests, importance)
        for attempt in request.attempts
    )


def crossed(run_data, importance, window):
    """Return the number of misdelivered and truncated answers."""
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
    """Return the number of requests that the load generators didn't send."""
    return sum(
        request.outcome == Outcome.UNSENT.value
        for request in run_data.of(importance, window)
    )


def late(run_data, importance, window):
    """Return the 99th percentile of the load generators' lateness."""
    due = run_data.of(importance, window)
    return percentile([request.lateness_ms for request in due], 99)


def overrun_of_limits(run_data, importance, window):
    """Return the most calls of a target beyond the limit that it named.

    The first second of each limit is left out, in which an answer has to
    tell of it.
    """
    starts_at = run_data.windows["whole"].begins
    limits = [one for one in run_data.scenario.faults if one.kind == "limit"]
    excesses = [
        overrun(
            [one for one in run_data.executions if one.service == limit.subject],
            limit.value,
            Window(
                starts_at + limit.start_seconds + WARM_UP_SECONDS,
                starts_at + limit.end_seconds,
            ),
        )
        for limit in limits
    ]
    return max(excesses, default=None)


def latency(percent):
    """Return a function that computes a latency percentile.

    Only requests that succeeded are counted.
    """

    def compute(run_data, importance, window):
        due = run_data.of(importance, window)
        return percentile([one.latency_ms for one in due if one.good], percent)

    return compute


def percentile(milliseconds, percent):
    """Return a percentile in seconds, or None if there are no values."""
    if not milliseconds:
        return None
    return percentile_ms(latency_histogram(milliseconds), percent) / 1_000


def admission_counter(name):
    """Return a function that computes the increase of an admission counter."""

    def compute(run_data, importance, window):
        return counter_increase(run_data.samples, window, name)

    return compute


@dataclass(frozen=True, slots=True)
class Measure:
    """A function that computes a measure, and its default window."""

    compute: Callable
    window: str = "whole"


MEASURES = {
    "goodput": Measure(goodput_rate, "overload"),
    "good": Measure(good_share_of, "overload"),
    "recovery": Measure(recovery, "after"),
    "wasted": Measure(wasted, "overload"),
    "inversions": Measure(admission_counter("inversions"), "overload"),
    "idle_refusals": Measure(admission_counter("idle_refusals"), "overload"),
    "retries": Measure(retries),
    "doubled": Measure(doubled),
    "lost": Measure(lost),
    "denied": Measure(denied),
    "overrun": Measure(overrun_of_limits),
    "refused": Measure(refused, "before"),
    "crossed": Measure(crossed),
    "unsent": Measure(unsent),
    "late": Measure(late),
    "p50": Measure(latency(50)),
    "p99": Measure(latency(99)),
}
"""All measures by their names in `expect` lines."""
