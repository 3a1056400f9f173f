"""Tells when the target's process has ended, and what was at work in it."""

import asyncio
from collections import deque
from dataclasses import dataclass
from itertools import islice

import logbook

from papayabay_core.utils.clock import now

LOOKS_S = (0.01, 0.09)
"""Pauses before the target is looked for, seconds. Its connections end one
after the other, and its listening socket may be the last to go."""
HEARD_S = 0.01
"""How long others have to hear of an end before the calls that it cut are
answered, and then sent to the next target, seconds."""
AT_WORK_S = 0.5
"""How long before an end, seconds, a call that was lost or given up counts as
at work in it."""
MOST_LOST = 1_024
MOST_NAMED = 24
"""Calls that the log names for one end."""
log = logbook.Logger("papayabay.target")


@dataclass(frozen=True, slots=True)
class AtWork:
    """A call whose answer the target still owed.

    Attributes
    ----------
    request_id : str
    path_key : str
    fingerprint : bytes
    begun : float
        When the target was handed it, on `clock.now()`.
    """

    request_id: str
    path_key: str
    fingerprint: bytes
    begun: float


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of a target's process.

    Attributes
    ----------
    process : tuple of (str, int)
        As in `Announcement.process`.
    service : str
    calls : list of AtWork
    """

    process: tuple[str, int]
    service: str
    calls: list[AtWork]


class EndWatch:
    """Finds out whether a target that broke off a call has ended.

    A call is also lost by a connection that was reset, or an answer that went
    astray, while the target lives on. It has ended when no connection to it is
    left and it refuses another.

    Parameters
    ----------
    fingerprints : Fingerprints
    clock : callable
        Seconds.

    Attributes
    ----------
    listeners : list of callable
        Called with each `TargetEnd`.
    answer_listeners : list of callable
        Called with each call that got a whole answer.
    """

    def __init__(self, fingerprints, clock=now):
        self.fingerprints = fingerprints
        self.clock = clock
        self.lost = deque(maxlen=MOST_LOST)
        self.looking = None
        self.listeners = []
        self.answer_listeners = []
        self.counters = {"ends": 0, "ended_calls": 0}

    def note(self, call, exchange):
        """Note a call that broke off, or that was given up, unanswered.

        Parameters
        ----------
        call : Call
        exchange : Exchange
            By which it was handed over.
        """
        at = self.clock()
        while self.lost and at - self.lost[0][0] > AT_WORK_S:
            self.lost.popleft()
        digest = self.fingerprints.of(call)
        work = AtWork(call.request_id, call.path_key, digest, exchange.begun)
        self.lost.append((at, exchange.pool, work))

    def answered(self, call):
        """Note that a call got a whole answer, so that it ended nothing."""
        for listener in self.answer_listeners:
            listener(call)

    def look(self, pool):
        """Find out soon whether the target has ended; one look at a time."""
        if self.looking is None or self.looking.done():
            self.looking = asyncio.create_task(self.find_out(pool))
        return self.looking

    async def find_out(self, pool):
        """Note the target's end unless it shows that it lives."""
        for pause in LOOKS_S:
            await asyncio.sleep(pause)
            if pool.closed or pool.lives:
                return
            try:
                await pool.prove()
            except ConnectionRefusedError:
                self.ended(pool)
                await asyncio.sleep(HEARD_S)
                return
            except OSError as error:
                log.info("the target's end is in doubt: {!r}", error)
            else:
                return

    def ended(self, pool):
        """Tell what was at work in a process that has ended.

        One that had said that it leaves ended as it was meant to, and what it
        cut is no cause of it.
        """
        oldest = self.clock() - AT_WORK_S
        calls = [
            work for at, owner, work in self.lost if owner is pool and at >= oldest
        ]
        self.lost.clear()
        announcement = pool.announcement
        if announcement.draining or not calls:
            return
        self.counters["ends"] += 1
        self.counters["ended_calls"] += len(calls)
        named = ", ".join(map(describe, islice(calls, MOST_NAMED)))
        log.warning(
            "target {} of {} has ended with {} calls at work: {}",
            announcement.incarnation,
            announcement.service,
            len(calls),
            named,
        )
        end = TargetEnd(announcement.process, announcement.service, calls)
        for listener in self.listeners:
            listener(end)

    def close(self):
        """Look no more."""
        if self.looking is not None:
            self.looking.cancel()


def describe(work):
    """Return a call's id and the beginning of its fingerprint, for the log."""
    return f"{work.request_id}={work.fingerprint.hex()[:12]}"
