"""Detects crashes of the target, and which calls were in flight."""

import asyncio
from collections import deque
from dataclasses import dataclass
from itertools import islice

import logbook

from papayabay_core.utils.clock import now

PROBE_DELAYS_S = (0.01, 0.09)
"""Delays before each connection attempt. Connections of a crashed process
close one by one, its listening socket possibly last."""
PROPAGATION_DELAY_S = 0.01
"""How long the calls that a crash has cut wait, so that other daemons know of
it before they are retried there."""
IN_FLIGHT_GRACE_S = 0.5
"""How long before a crash a call may have been lost or cancelled and still
count as in flight."""
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
        When it was handed to the target, on `clock.now()`.
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

    A reset connection or a lost answer does not show that. A crash does by
    all connections closed and a new one refused.

    Parameters
    ----------
    fingerprints : Fingerprints
    clock : callable
        Seconds.

    Attributes
    ----------
    listeners : list of callable
        Called with each `TargetCrash`.
    answer_listeners : list of callable
        Called with each call that got a whole answer.
    """

    def __init__(self, fingerprints, clock=now):
        self.fingerprints = fingerprints
        self.clock = clock
        self.lost = deque(maxlen=MAX_LOST_CALLS)
        self.probing = None
        self.listeners = []
        self.answer_listeners = []
        self.counters = {"ends": 0, "ended_calls": 0}

    def call_lost(self, call, exchange):
        """Record a call that broke off or was cancelled before its answer.

        Parameters
        ----------
        call : Call
        exchange : Exchange
            By which it was handed over.
        """
        at = self.clock()
        while self.lost and at - self.lost[0][0] > IN_FLIGHT_GRACE_S:
            self.lost.popleft()
        digest = self.fingerprints.of(call)
        lost = InFlightCall(call.request_id, call.path_key, digest, exchange.started_at)
        self.lost.append((at, exchange.pool, lost))

    def answered(self, call):
        """Report a whole answer, which shows that its call crashed nothing."""
        for listener in self.answer_listeners:
            listener(call)

    def probe(self, pool):
        """Start a probe of the target unless one runs; return its task."""
        if self.probing is None or self.probing.done():
            self.probing = asyncio.create_task(self.run_probe(pool))
        return self.probing

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
                log.info("probe of the target failed: {!r}; probing again", error)
            else:
                return

    def report_crash(self, pool):
        """Report a crash and the calls that were in flight.

        A target that was draining was stopped on purpose; the calls that this
        cut are not suspects.
        """
        oldest = self.clock() - IN_FLIGHT_GRACE_S
        calls = [
            call for at, owner, call in self.lost if owner is pool and at >= oldest
        ]
        self.lost.clear()
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
        """Cancel a probe that runs."""
        if self.probing is not None:
            self.probing.cancel()


def describe(call):
    """Return a call's id and the beginning of its fingerprint, for the log."""
    return f"{call.request_id}={call.fingerprint.hex()[:12]}"
