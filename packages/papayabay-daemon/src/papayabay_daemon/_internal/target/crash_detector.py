"""Detects crashes of the target, and which calls were in flight."""

import asyncio
from collections import deque
from dataclasses import dataclass
from itertools import islice

import logbook

from papayabay_core.utils.clock import now

PROBE_DELAYS_S = (0.01, 0.09)
"""Delay before each connection attempt of a probe. The connections of a
crashed process are closed one by one, its listening socket possibly last."""
PROPAGATION_DELAY_S = 0.01
"""Delay before calls cut off by a crash may be retried, so that other daemons
learn of the crash first."""
IN_FLIGHT_GRACE_S = 0.5
"""A call that was lost or cancelled less than this before a crash counts as in
flight."""
MAX_LOST_CALLS = 1_024
MAX_LOGGED_CALLS = 24
log = logbook.Logger("papayabay.target")


@dataclass(frozen=True, slots=True)
class InFlightCall:
    """A call that the target had not answered.

    Attributes
    ----------
    request_id : str
    path_key : str
    fingerprint : bytes
    started_at : float
        When it was sent to the target, on `clock.now()`.
    """

    request_id: str
    path_key: str
    fingerprint: bytes
    started_at: float


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A crash of a target's process.

    Attributes
    ----------
    process : tuple of (str, int)
        As in `Announcement.process`.
    service : str
    calls : list of InFlightCall
    """

    process: tuple[str, int]
    service: str
    calls: list[InFlightCall]


class CrashDetector:
    """Finds out whether a target that broke off a call has crashed.

    A connection reset or a lost answer alone does not show a crash. The target
    has crashed if all its connections are closed and a new one is refused.

    Parameters
    ----------
    fingerprints : Fingerprints
    clock : callable
        Seconds.

    Attributes
    ----------
    lost_calls : deque of (float, TargetPool, InFlightCall)
        Calls lost or cancelled recently, with the time of the loss.
    probe_task : asyncio.Task or None
        The latest probe.
    listeners : list of callable
        Called with each `TargetCrash`.
    answer_listeners : list of callable
        Called with each call that got a complete answer.
    """

    def __init__(self, fingerprints, clock=now):
        self.fingerprints = fingerprints
        self.clock = clock
        self.lost_calls = deque(maxlen=MAX_LOST_CALLS)
        self.probe_task = None
        self.listeners = []
        self.answer_listeners = []
        self.counters = {"ends": 0, "ended_calls": 0}

    def record_lost_call(self, call, exchange):
        """Record a call that broke off or was cancelled before its answer.

        Parameters
        ----------
        call : Call
        exchange : Exchange
            The exchange that carried it.
        """
        lost_at = self.clock()
        while self.lost_calls and lost_at - self.lost_calls[0][0] > IN_FLIGHT_GRACE_S:
            self.lost_calls.popleft()
        digest = self.fingerprints.of(call)
        lost = InFlightCall(call.request_id, call.path_key, digest, exchange.started_at)
        self.lost_calls.append((lost_at, exchange.pool, lost))

    def record_answer(self, call):
        """Report a complete answer; its call did not crash the target."""
        for listener in self.answer_listeners:
            listener(call)

    def probe(self, pool):
        """Start a probe of the target unless one runs; return its task."""
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.create_task(self.run_probe(pool))
        return self.probe_task

    async def run_probe(self, pool):
        """Report a crash unless the target still accepts connections."""
        for delay in PROBE_DELAYS_S:
            await asyncio.sleep(delay)
            if pool.closed or pool.has_open_connection:
                return
            try:
                await pool.check_connect()
            except ConnectionRefusedError:
                self.report_crash(pool)
                await asyncio.sleep(PROPAGATION_DELAY_S)
                return
            except OSError as error:
                log.info("probe of the target failed: {!r}; no crash assumed", error)
            else:
                return

    def report_crash(self, pool):
        """Report a crash and the calls that were in flight.

        A target that was draining was stopped on purpose. The calls cut off by
        that are not suspects.
        """
        oldest = self.clock() - IN_FLIGHT_GRACE_S
        calls = [
            call
            for lost_at, call_pool, call in self.lost_calls
            if call_pool is pool and lost_at >= oldest
        ]
        self.lost_calls.clear()
        announcement = pool.announcement
        if announcement.draining or not calls:
            return
        self.counters["ends"] += 1
        self.counters["ended_calls"] += len(calls)
        log.warning(
            "target {} of {} has ended with {} calls at work: {}",
            announcement.incarnation,
            announcement.service,
            len(calls),
            ", ".join(map(describe, islice(calls, MAX_LOGGED_CALLS))),
        )
        crash = TargetCrash(announcement.process, announcement.service, calls)
        for listener in self.listeners:
            listener(crash)

    def close(self):
        """Cancel a running probe."""
        if self.probe_task is not None:
            self.probe_task.cancel()


def describe(call):
    """Return a call's id and the beginning of its fingerprint, for the log."""
    return f"{call.request_id}={call.fingerprint.hex()[:12]}"
