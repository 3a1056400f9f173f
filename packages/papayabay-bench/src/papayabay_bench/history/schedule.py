"""Draws the schedule of a run, its operations and faults, from a seed."""

from dataclasses import dataclass

import hypothesis
from hypothesis import HealthCheck, Phase, strategies as st

RUN_SECONDS = 4.0
EXAMPLES = 4
"""Hypothesis draws the simplest example first, so several are drawn and the
last one is used."""
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
"""Daemons, targets, services or store that each kind of fault can affect."""
OPERATIONS = ("claimed", "home", "browse", "document", "conflict")


class UnknownFault(ValueError):
    """A kind of fault that `SUBJECTS` doesn't have."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a schedule.

    Attributes
    ----------
    start_seconds : float
        Time from the start of the run.
    duration_seconds : float
    """

    kind: str
    subject: str
    start_seconds: float
    duration_seconds: float


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """Parameters of a client, which sends one request after another.

    Attributes
    ----------
    operations : tuple of str
        Each request's operation is drawn from them at random.
    pause_ms : int
        Mean pause between requests.
    retries : int
        Maximum number of retries of a request.
    concurrent_attempts : int
        Attempts of a request with a key that are sent at the same time.
    seed : int
    """

    operations: tuple
    pause_ms: int
    retries: int
    concurrent_attempts: int
    seed: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """The clients, faults and policy patches of one run.

    Attributes
    ----------
    clients : tuple of ClientPlan
    faults : tuple of PlannedFault
    patches : tuple of (float, int)
        Seconds from the start of the run, and number of operators who
        commit a patch concurrently at that time.
    """

    clients: tuple
    faults: tuple
    patches: tuple


def validate_kinds(kinds):
    """Return kinds of fault as a tuple; all kinds if none is given.

    Raises
    ------
    UnknownFault
        When a kind is unknown; lists the known ones.
    """
    unknown = sorted(set(kinds) - set(SUBJECTS))
    if unknown:
        known = ", ".join(SUBJECTS)
        raise UnknownFault(f"unknown fault {unknown[0]}; known faults: {known}")
    return tuple(kinds) or tuple(SUBJECTS)


def tenths(minimum, maximum):
    """Return a strategy for seconds in steps of a tenth."""
    return st.integers(round(minimum * 10), round(maximum * 10)).map(lambda n: n / 10)


@st.composite
def planned_faults(draw, kinds):
    """Draw one fault."""
    kind = draw(st.sampled_from(kinds))
    subject = draw(st.sampled_from(SUBJECTS[kind]))
    start, duration = draw(tenths(0.3, 2.0)), draw(tenths(0.4, 2.2))
    return PlannedFault(kind, subject, start, duration)


@st.composite
def client_plans(draw):
    """Draw the plan of one client."""
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
    """Draw a schedule with one to three faults, which often overlap."""
    clients = draw(st.lists(client_plans(), min_size=6, max_size=12))
    faults = draw(st.lists(planned_faults(kinds), min_size=1, max_size=3))
    races = st.tuples(tenths(0.2, 3.0), st.integers(1, 4))
    patches = draw(st.lists(races, min_size=1, max_size=5))
    return Schedule(tuple(clients), one_per_subject(faults), tuple(patches))


def one_per_subject(faults):
    """Return at most one fault for each subject, sorted by start.

    Two faults of one subject would interfere: a paused daemon can't be
    drained, and the store stand-in replaces its faults as a whole. Faults of
    different subjects may overlap.
    """
    kept = {fault.subject: fault for fault in faults}
    return tuple(sorted(kept.values(), key=lambda fault: fault.start_seconds))


def draw_schedule(seed, kinds=()):
    """Return the schedule of a seed.

    Parameters
    ----------
    seed : int
    kinds : sequence of str
        Kinds of fault to draw from; all when empty.

    Raises
    ------
    UnknownFault
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
    def collect(schedule):
        drawn.append(schedule)

    collect()
    return drawn[-1]
