"""The result of a scenario's run, and its JSON file format."""

import json
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

from papayabay_bench.load.results import Outcome
from papayabay_bench.scenarios.expectations import Verdict

STEP_SECONDS = 0.25
"""Interval that one point of a series covers."""


@dataclass(slots=True)
class RunResult:
    """Result of one run of a scenario, with one policy and one seed.

    Attributes
    ----------
    windows : dict of str to (float, float)
        Start and end of each window, in seconds from the load's start.
    bound_lines : list of str
        Text that shows how the bound was computed.
    measures : dict of str to (float or None)
        Values of the standard measures, by selector.
    admission : dict of str to dict of str to int
        Calls that the daemons of each service admitted, by class, and
        refused, by class and error kind. Counted during the overload, or
        during the whole run if there is none.
    series : dict of str to dict of str to list of (float, float)
        Time series, by kind, then by class or service. A point is the time
        from the load's start in seconds, and a value.
    """

    scenario: str
    source: str
    scale: str
    policy: str
    seed: int
    windows: dict[str, tuple[float, float]]
    bound_lines: list[str]
    measures: dict[str, float | None]
    verdicts: list[Verdict] = field(default_factory=list)
    admission: dict[str, dict[str, int]] = field(default_factory=dict)
    series: dict[str, dict[str, list[tuple[float, float]]]] = field(
        default_factory=dict
    )

    @property
    def holds(self):
        """Whether every expectation was met."""
        return all(verdict.holds for verdict in self.verdicts)


def write_results(results, path):
    """Write results as JSON."""
    Path(path).write_text(json.dumps([asdict(result) for result in results]))


def read_results(paths):
    """Read the results from several files.

    Raises
    ------
    ValueError
        When a file is not a result file; names the file.
    """
    results = []
    for path in paths:
        try:
            results += [
                result_from_json(one) for one in json.loads(Path(path).read_text())
            ]
        except (TypeError, KeyError, AttributeError, ValueError) as error:
            raise ValueError(f"{path} is not a result file: {error}") from None
    return results


def result_from_json(values):
    """Return the result of one decoded JSON object."""
    verdicts = [Verdict(**verdict) for verdict in values.pop("verdicts")]
    return RunResult(verdicts=verdicts, **values)


def series_of(run_data):
    """Return the time series of a run."""
    load_start = run_data.windows["whole"].begins
    return {
        "offered": per_class(run_data.requests, load_start, "due"),
        "goodput": per_class(
            [request for request in run_data.requests if request.good],
            load_start,
            "ended",
        ),
        "refused": refusals(run_data.requests, load_start),
        "queue_ms": by_service(run_data.samples, load_start, "queue_ms"),
        "in_flight": by_service(run_data.samples, load_start, "in_flight"),
        "queued": by_service(run_data.samples, load_start, "queued"),
    }


def per_class(requests, load_start, time_attribute):
    """Return the requests per second by class over time.

    `time_attribute` names the request's attribute that counts as its time.
    """
    return rates(
        (request.importance, getattr(request, time_attribute) - load_start)
        for request in requests
    )


def refusals(requests, load_start):
    """Return the refused attempts per second by class over time."""
    return rates(
        (request.importance, attempt.ended - load_start)
        for request in requests
        for attempt in request.attempts
        if attempt.outcome == Outcome.REFUSED.value
    )


def rates(events):
    """Return the events per second by name over time.

    Events are pairs of a name and a time in seconds from the load's start.
    """
    counts_by_name = defaultdict(Counter)
    for name, time in events:
        counts_by_name[name][int(time // STEP_SECONDS)] += 1
    return {
        name: [
            (step * STEP_SECONDS, counts[step] / STEP_SECONDS)
            for step in range(max(counts) + 1)
        ]
        for name, counts in sorted(counts_by_name.items())
    }


def by_service(samples, load_start, attribute):
    """Return the mean of an attribute by service over time."""
    values_by_service = defaultdict(lambda: defaultdict(list))
    for sample in samples:
        if sample.service:
            step = int((sample.time - load_start) // STEP_SECONDS)
            values_by_service[sample.service][step].append(getattr(sample, attribute))
    return {
        service: [
            (step * STEP_SECONDS, sum(values) / len(values))
            for step, values in sorted(points.items())
            if step >= 0
        ]
        for service, points in sorted(values_by_service.items())
    }
