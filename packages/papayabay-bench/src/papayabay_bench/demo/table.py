"""The demonstration's table of results, and its verdict."""

from dataclasses import dataclass

from papayabay_bench.demo import chain
from papayabay_bench.measures.capacity import best_goodput
from papayabay_bench.measures.effects import doubled_effects
from papayabay_bench.measures.goodput import (
    goodput,
    goodput_by_class,
    offered_by_call,
    offered_by_class,
)
from papayabay_bench.measures.recovery import time_back
from papayabay_bench.measures.refusals import attempts_by_kind
from papayabay_bench.measures.retries import largest_retries
from papayabay_bench.measures.waste import wasted_share
from papayabay_bench.measures.windows import Window

CLASSES = ("critical", "sheddable")
LABEL_WIDTH = 34


@dataclass(frozen=True, slots=True)
class Stages:
    """The stretches of the run."""

    normal: Window
    overload: Window
    after: Window

    @classmethod
    def of(cls, begins, normal, overload, after):
        """Return stages that follow one another.

        Parameters
        ----------
        begins : float
            On `clock.now()`.
        normal, overload, after : float
            Lengths in seconds.
        """
        first = Window(begins, begins + normal)
        second = Window(first.ends, first.ends + overload)
        return cls(first, second, Window(second.ends, second.ends + after))


def table_lines(requests, records, stages, bound):
    """Yield the lines of the table.

    Parameters
    ----------
    requests : list of Request
    records : Records
    stages : Stages
    bound : Bound
        Of the fleet without faults.
    """
    yield ""
    yield f"{'goodput, requests/s (offered)':{LABEL_WIDTH}}" + "".join(
        f"{name:>20}" for name in ("normal", "overload", "after")
    )
    for importance in CLASSES:
        yield goodput_line(requests, stages, importance)
    yield ""
    yield from refusal_lines(requests)
    yield ""
    yield from promise_lines(requests, records, stages, bound)


def goodput_line(requests, stages, importance):
    """Return one class's goodput in each stage."""
    windows = (stages.normal, stages.overload, stages.after)
    cells = []
    for window in windows:
        good = goodput_by_class(requests, window).get(importance, 0.0)
        offered = offered_by_class(requests, window).get(importance, 0.0)
        cells.append(f"{good:.1f} ({offered:.1f})")
    return f"  {importance:{LABEL_WIDTH - 2}}" + "".join(
        f"{cell:>20}" for cell in cells
    )


def refusal_lines(requests):
    """Yield how attempts that got no good answer ended."""
    counted = attempts_by_kind(requests)
    yield "attempts without a good answer"
    for importance in CLASSES:
        kinds = {
            kind: number
            for (found, kind), number in sorted(counted.items())
            if found == importance
        }
        text = ", ".join(f"{kind} {number}" for kind, number in kinds.items())
        yield f"  {importance:{LABEL_WIDTH - 2}}{text or 'none'}"


def promise_lines(requests, records, stages, bound):
    """Yield retries, doubled effects, waste and the way back."""
    reached = goodput(requests, stages.overload)
    best = sum(
        best_goodput(
            chain.services(),
            chain.calls(),
            offered_by_call(requests, stages.overload),
            {chain.SLOW_SERVICE: chain.SLOW_FACTOR},
        ).values()
    )
    retries = largest_retries(requests, records.executions)
    doubled = len(doubled_effects(records.effects))
    back = time_back(requests, stages.normal, stages.after)
    waste = wasted_share(requests, records.executions)
    late = max((request.lateness_ms for request in requests), default=0.0)
    rows = [
        ("bottleneck's bound, requests/s", f"{bound.rate:.1f} ({bound.service})"),
        (
            "best in overload, critical first",
            f"{best:.1f}, reached {reached:.1f} ({reached / best:.0%})",
        ),
        ("retries per request", f"largest {retries}, bound {chain.RETRY_CREDITS}"),
        ("doubled effects", f"{doubled} of {len(records.effects)}"),
        ("slot time wasted", f"{waste:.1%}"),
        (
            "time back to normal goodput",
            "not back" if back is None else f"{back:.2f} s",
        ),
        ("load tool's own lateness", f"at most {late:.1f} ms"),
    ]
    for label, value in rows:
        yield f"{label:{LABEL_WIDTH}}{value}"


def judge(requests, records, tell):
    """Return the exit code: 1 when nothing was served or an effect doubled."""
    served = {request.call for request in requests if request.good}
    missing = {call.name for call in chain.calls()} - served
    if missing:
        tell(f"failed: nothing served of {', '.join(sorted(missing))}")
    doubled = doubled_effects(records.effects)
    for effect in doubled:
        tell(f"failed: effect taken {doubled[effect]} times: {effect}")
    return 1 if missing or doubled else 0
