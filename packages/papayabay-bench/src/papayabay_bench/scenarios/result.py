"""What a run of a scenario found, as it is kept in result files."""

import json
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path

from papayabay_bench.load.results import Outcome
from papayabay_bench.scenarios.expectations import Verdict

STEP = 0.25
"""Seconds that one point of a series stands for."""


@dataclass(slots=True)
class RunResult:
    """One run of one scenario under one policy with one seed.

    Attributes
    ----------
    windows : dict of str to (float, float)
        Seconds from the load's begin.
    bound_lines : list of str
        How the bound was computed.
    measures : dict of str to (float or None)
        The standard measures.
    admission : dict of str to dict of str to int
        What the daemons of each service admitted and refused in the
        overload, by class, and by class and error kind.
    series : dict of str to dict of str to list of (float, float)
        Points over time, by kind and name.
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
        """Whether every expectation held."""
        return all(verdict.holds for verdict in self.verdicts)


def write_results(results, path):
    """Write results as JSON."""
    Path(path).write_text(json.dumps([asdict(result) for result in results]))


def read_results(paths):
    """Return the results of several files.

    Raises
    ------
    ValueError
        When a file holds no results; it is named.
    """
    found = []
    for path in paths:
        try:
            found += [from_values(one) for one in json.loads(Path(path).read_text())]
        except (TypeError, KeyError, AttributeError, ValueError) as error:
            raise ValueError(f"{path} holds no results: {error}") from None
    return found


def from_values(values):
    """Return the result of plain values."""
    verdicts = [Verdict(**verdict) for verdict in values.pop("verdicts")]
    return RunResult(verdicts=verdicts, **values)


def series_of(run_data):
    """Return a run's points over time."""
    begins = run_data.windows["whole"].begins
    return {
        "offered": per_class(run_data.requests, begins, "due"),
        "goodput": per_class(
            [request for request in run_data.requests if request.good], begins, "ended"
        ),
        "refused": refusals(run_data.requests, begins),
        "queue_ms": by_service(run_data.samples, begins, "queue_ms"),
        "in_flight": by_service(run_data.samples, begins, "in_flight"),
        "queued": by_service(run_data.samples, begins, "queued"),
    }


def per_class(requests, begins, moment):
    """Return requests per second by class over time."""
    return rates(
        (request.importance, getattr(request, moment) - begins) for request in requests
    )


def refusals(requests, begins):
    """Return refused attempts per second by class over time."""
    return rates(
        (request.importance, attempt.ended - begins)
        for request in requests
        for attempt in request.attempts
        if attempt.outcome == Outcome.REFUSED.value
    )


def rates(events):
    """Return events per second by name over time."""
    counted = defaultdict(Counter)
    for name, moment in events:
        counted[name][int(moment // STEP)] += 1
    return {
        name: [(step * STEP, counts[step] / STEP) for step in range(max(counts) + 1)]
        for name, counts in sorted(counted.items())
    }


def by_service(samples, begins, attribute):
    """Return the mean of an attribute over a service's daemons over time."""
    found = defaultdict(lambda: defaultdict(list))
    for sample in samples:
        if sample.service:
            step = int((sample.time - begins) // STEP)
            found[sample.service][step].append(getattr(sample, attribute))
    return {
        service: [
            (step * STEP, sum(values) / len(values))
            for step, values in sorted(points.items())
            if step >= 0
        ]
        for service, points in sorted(found.items())
    }
