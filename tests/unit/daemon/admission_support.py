"""Event loop in virtual time, and helpers for the admission tests."""

import asyncio
import selectors
from functools import wraps
from itertools import count
from random import Random

from papayabay_core.calls import Answer, Body, Call
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.policy.document import Admission, Decisions
from papayabay_daemon._internal.admission import AdmissionInputs, make_admission

NUMBERS = count()


class VirtualSelector(selectors.DefaultSelector):
    """Selector that advances the clock instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no timer is left to wait for")
        self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without real delays."""

    def __init__(self):
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)
        self._clock_resolution = 1e-9

    def time(self):
        return self.virtual.now


def run_virtual(make_coroutine):
    """Run `make_coroutine(clock)` in virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(make_coroutine(loop.time))
    finally:
        loop.close()


def in_virtual_time(method):
    """Run an async test method in virtual time, with its clock."""

    # A runner that loads a test by name takes the name of the function.
    @wraps(method)
    def run(self):
        return run_virtual(lambda clock: method(self, clock))

    return run


def make_inputs(
    clock, slots=2, announced_at=0.0, cold_start_ms=0, awaits_report=False, **values
):
    """Return inputs; `values` set policy fields by their name."""
    settings = {key: values[key] for key in values if key in Admission.model_fields}
    decisions = {key: values[key] for key in values if key in Decisions.model_fields}
    return AdmissionInputs(
        settings=Admission(**settings),
        decisions=Decisions(**decisions),
        slots=slots,
        cold_start_ms=cold_start_ms,
        announced_at=announced_at,
        awaits_report=awaits_report,
        random=Random(7),
        clock=clock,
    )


def make_control(clock, scheme="ranked", **values):
    return make_admission(scheme, make_inputs(clock, admission=scheme, **values))


def make_call(
    clock, importance=Importance.NORMAL, rank=0, depth=0, lifetime=10.0, path="p"
):
    return Call(
        request_id=str(next(NUMBERS)),
        service="s",
        method="GET",
        path="/",
        headers=[],
        body=Body(),
        importance=importance,
        rank=rank,
        depth=depth,
        expires_at=clock() + lifetime,
        credits=0,
        path_key=path,
    )


OK = Answer(200)
SHED = Answer(503, kind=ErrorKind.TARGET_SHED)


async def settle():
    """Let all ready tasks run."""
    for _ in range(5):
        await asyncio.sleep(0)


async def admit_or_kind(control, call):
    """Return the ticket, or the error kind of the refusal."""
    try:
        return await control.admit(call)
    except CallError as error:
        return error.kind


def start_admit(control, call):
    return asyncio.ensure_future(admit_or_kind(control, call))


async def train(control, clock, seconds, calls=30, path="p"):
    """Run calls of this duration, so that service times are estimated."""
    for _ in range(calls):
        ticket = await control.admit(make_call(clock, path=path))
        await asyncio.sleep(seconds)
        ticket.finish(OK)
