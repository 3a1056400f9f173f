"""Schedules of operations and faults, drawn by hypothesis from a seed."""

from dataclasses import dataclass

import hypothesis
from hypothesis import HealthCheck, Phase, strategies as st

RUN_SECONDS = 4.0
EXAMPLES = 4
"""Hypothesis tries the simplest schedule first; the last one drawn counts."""
DAEMONS = (
    "orders-svc-0",
    "orders-svc-1",
    "orders-svc-2",
    "stock-svc-0",
    "stock-svc-1",
    "stock-svc-2",
    "entry-0",
)
TARGETS = DAEMONS[:6]
SERVICES = ("orders-svc", "stock-svc")
STORE = ("",)
SUBJECTS = {
    "store-down": STORE,
    "store-silent": STORE,
    "store-slow": STORE,
    "store-lost": STORE,
    "store-stale": STORE,
    "pause": DAEMONS,
    "kill": DAEMONS,
    "silence": DAEMONS,
    "drain": DAEMONS,
    "crash": TARGETS,
    "leave": TARGETS,
    "surge": SERVICES,
    "shed": SERVICES,
}
"""Kind of fault and what it may befall."""
OPERATIONS = ("claimed", "home", "browse", "document", "conflict")


class UnknownFault(ValueError):
    """A kind of fault that the list doesn't hold."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault, when it begins and how long it lasts, in seconds."""

    kind: str
    subject: str
    at: float
    seconds: float


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """One client, which sends one request after another.

    Attributes
    ----------
    operations : tuple of str
        Drawn from again and again.
    pause_ms : int
        Mean pause between requests.
    retries : int
        Most attempts after the first.
    concurrent_attempts : int
        Attempts of one request that are sent at the same time.
    seed : int
    """

    operations: tuple
    pause_ms: int
    retries: int
    concurrent_attempts: int
    seed: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """All that happens in one run.

    Attributes
    ----------
    patches : tuple of (float, int)
        When operators race each other with a patch, and how many do.
    """

    clients: tuple
    faults: tuple
    patches: tuple


def validate_kinds(kinds):
    """Return kinds of fault, all without any.

    Raises
    ------
    UnknownFault
    """
    unknown = sorted(set(kinds) - set(SUBJECTS))
    if unknown:
        known = ", ".join(SUBJECTS)
        raise UnknownFault(f"unknown fault {unknown[0]}; there are {known}")
    return tuple(kinds) or tuple(SUBJECTS)


def tenths(least, most):
    """Return a strategy of times in tenths of a second."""
    return st.integers(round(least * 10), round(most * 10)).map(lambda n: n / 10)


@st.composite
def planned_faults(draw, kinds):
    """Draw one fault."""
    kind = draw(st.sampled_from(kinds))
    subject = draw(st.sampled_from(SUBJECTS[kind]))
    at, seconds = draw(tenths(0.3, 2.0)), draw(tenths(0.4, 2.2))
    return PlannedFault(kind, subject, at, seconds)


@st.composite
def client_plans(draw):
    """Draw one client."""
    operations = st.lists(st.sampled_from(OPERATIONS), min_size=2, max_size=6)
    return ClientPlan(
        operations=tuple(draw(operations)),
        pause_ms=draw(st.sampled_from((0, 5, 20, 60))),
        retries=draw(st.integers(0, 3)),
        concurrent_attempts=draw(st.integers(1, 3)),
        seed=draw(st.integers(0, 2**32)),
    )


@st.composite
def schedules(draw, kinds):
    """Draw a whole schedule: one to three faults, often two at once."""
    clients = draw(st.lists(client_plans(), min_size=6, max_size=12))
    faults = draw(st.lists(planned_faults(kinds), min_size=1, max_size=3))
    races = st.tuples(tenths(0.2, 3.0), st.integers(1, 4))
    patches = draw(st.lists(races, min_size=1, max_size=5))
    return Schedule(tuple(clients), disjoint(faults), tuple(patches))


def disjoint(faults):
    """Leave one fault out of each two that would undo each other.

    A daemon that is paused can't be drained, and the store stand-in has one
    set of switches. Faults of different subjects overlap freely.
    """
    kept = {fault.subject: fault for fault in faults}
    return tuple(sorted(kept.values(), key=lambda fault: fault.at))


def draw_schedule(seed, kinds=()):
    """Return the schedule of a seed.

    Parameters
    ----------
    seed : int
    kinds : sequence of str
        Kinds of fault to draw from; all when empty.
    """
    drawn = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        database=None,
        max_examples=EXAMPLES,
        phases=[Phase.generate],
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis.given(schedules(validate_kinds(kinds)))
    def take(schedule):
        drawn.append(schedule)

    take()
    return drawn[-1]
