"""Claims of callers' own keys in the platform's table."""

import asyncio
import hashlib
import random
from collections import Counter
from contextlib import nullcontext
from dataclasses import dataclass
from enum import Enum

from papayabay_core.errors import CallError
from papayabay_core.exceptions import (
    ConditionFailed,
    PlatformAmbiguous,
    PlatformError,
)
from papayabay_core.platform.protocols import Put
from papayabay_daemon._internal.idempotency.budget import WriteBudget

CLAIM_FORMAT = 1
PREFIX = "claim/"
FIRST_PAUSE = 0.02
LAST_PAUSE = 1.0
STORE_CONCURRENCY = 8
RELEASE_CONCURRENCY = 2
"""Fewer than the above, so that outcomes never wait behind releases."""
SETTLED = -1


class ClaimState(Enum):
    """State of a claim's row."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    OPEN = "open"


@dataclass(slots=True)
class Claim:
    """A claim as its row tells it.

    Attributes
    ----------
    digest : str
    attempt_id : str
        Settles whether a write without an answer was ours.
    daemon, life : str
        The claimant and its process.
    state : ClaimState or None
        None in a row that this version can't read.
    answer : dict or None
        Packed first answer of a done claim.
    revision : int
        Of its row; before it certainly stands, the one it would get.
    stands : bool
        Whether `revision` is certain.
    """

    digest: str
    attempt_id: str
    daemon: str
    life: str
    state: ClaimState | None = ClaimState.CLAIMED
    answer: dict | None = None
    revision: int = 0
    stands: bool = False


class AmbiguousClaim(Exception):
    """The claim may stand, but was not dispatched and never will be."""


def claim_key(service, key):
    """Return the name of a key's row."""
    text = f"{service}\n{key}".encode("utf-8", "surrogateescape")
    return PREFIX + hashlib.sha256(text).hexdigest()


def pack_claim(claim):
    """Return a claim as JSON values."""
    return {
        "format": CLAIM_FORMAT,
        "digest": claim.digest,
        "attempt_id": claim.attempt_id,
        "daemon": claim.daemon,
        "life": claim.life,
        "state": claim.state.value,
        "answer": claim.answer,
    }


def unpack_claim(row):
    """Return the claim of a row.

    A row of a newer format, or a damaged one, gives a claim without a
    state: nothing is known of its outcome, so nothing may be run.
    """
    values = row.value
    try:
        if values["format"] != CLAIM_FORMAT:
            raise ValueError
        return Claim(
            str(values["digest"]),
            str(values["attempt_id"]),
            str(values["daemon"]),
            str(values["life"]),
            ClaimState(values["state"]),
            values.get("answer"),
            row.revision,
        )
    except (KeyError, TypeError, ValueError):
        return Claim("", "", "", "", None, None, row.revision)


class ClaimStore:
    """Takes, settles and releases claims.

    Parameters
    ----------
    table : TableService
    clock : callable
        Returns seconds.
    sleep : callable
        Coroutine function that waits some seconds.
    timeout : float
        Seconds after which one store operation is given up.
    """

    def __init__(self, table, clock, sleep, timeout):
        self.table = table
        self.clock = clock
        self.sleep = sleep
        self.timeout = timeout
        self.counters = Counter()
        self.budget = WriteBudget(clock)
        self.background = asyncio.Semaphore(STORE_CONCURRENCY)
        self.releases = asyncio.Semaphore(RELEASE_CONCURRENCY)

    def admit(self):
        """Take the right to a first claim; see `WriteBudget.admit`."""
        try:
            self.budget.admit()
        except CallError:
            self.counters["claims_held_back"] += 1
            raise

    async def take(self, key, claim, expires_at):
        """Write a claim; its first write was admitted before.

        Returns
        -------
        Claim or None
            None when `claim` now stands; else the claim that stands there.

        Raises
        ------
        CallError
            STORE_UNAVAILABLE when it certainly does not stand.
        AmbiguousClaim
            When nobody can tell before `expires_at`.
        """
        expected = 0
        ambiguous = False
        pause = FIRST_PAUSE
        first = True
        while self.clock() < expires_at:
            if not first:
                self.budget.spend()
            first = False
            claim.revision = expected + 1
            try:
                await self.write(key, claim, expected)
                claim.stands = True
                return None
            except ConditionFailed:
                pass
            except PlatformAmbiguous:
                # The write may stand though its answer was lost. To claim
                # again under another attempt would block the key for ever,
                # to go on would run a call without a claim; so it is read
                # back by its attempt id.
                ambiguous = True
                self.counters["ambiguous"] += 1
            except PlatformError as error:
                if not ambiguous:
                    raise self.unavailable() from error
            row = await self.read_quietly(key)
            # A row no newer than the one written against is a stale read
            # and says nothing about this write.
            if row is not None and row.revision > expected:
                found = unpack_claim(row)
                if found.attempt_id == claim.attempt_id:
                    claim.revision = row.revision
                    claim.stands = True
                    return None
                if found.state is not ClaimState.OPEN:
                    return found
                expected = row.revision
                continue
            await self.sleep(min(pause, max(expires_at - self.clock(), 0.0)))
            pause = next_pause(pause)
        if ambiguous:
            raise AmbiguousClaim
        raise self.unavailable()

    def unavailable(self):
        """Return the error for a store that gave no claim."""
        return self.budget.unavailable("the key could not be claimed")

    async def settle(self, key, claim):
        """Write the outcome of an own claim, however long it takes.

        A row that is not there is inserted: a claim whose write is still on
        its way then fails, where it would otherwise arrive late and block
        the key as a claim that nobody remembers.

        It is only written over a revision known to be ours or open. With a
        guessed revision, a write that arrives late would hit the claim that
        another attempt made meanwhile, and open it while it runs.
        """
        expected = claim.revision if claim.stands else None
        pause = FIRST_PAUSE
        released = claim.state is ClaimState.OPEN
        turn = self.releases if released else nullcontext()
        while True:
            async with turn, self.background:
                if await self.settle_once(key, claim, expected):
                    return
                expected = await self.next_expected(key, claim)
            if expected is SETTLED:
                return
            await self.sleep(pause)
            pause = next_pause(pause)

    async def settle_once(self, key, claim, expected):
        """Return whether the outcome was written over a known revision."""
        if expected is None:
            return False
        self.budget.spend()
        self.counters["outcome_writes"] += 1
        try:
            await self.write(key, claim, expected)
        except PlatformError:
            return False
        return True

    async def next_expected(self, key, claim):
        """Return the revision to write over, `SETTLED`, or None for none."""
        try:
            row = await self.read(key)
        except PlatformError:
            return None
        if row is None:
            return 0 if claim.state is ClaimState.OPEN else claim.revision
        found = unpack_claim(row)
        if is_settled(found, claim):
            return SETTLED
        if found.attempt_id == claim.attempt_id or claim.state is ClaimState.OPEN:
            return row.revision
        return claim.revision

    async def write(self, key, claim, expected):
        """Write a row on a condition, bounded in time."""
        self.counters["writes"] += 1
        try:
            async with asyncio.timeout(self.timeout):
                await self.table.write([Put(key, pack_claim(claim), expected)])
        except (ConditionFailed, PlatformAmbiguous):
            raise
        except PlatformError:
            # The store refused it, most likely as one too many. Each further
            # write would only delay the ones that it still takes.
            self.counters["refused"] += 1
            self.budget.record_refusal()
            raise
        except Exception as error:
            # A client that fails in an unforeseen way, or gives no answer in
            # time, may have sent the write. To let the error through would
            # end the attempt with its key neither run nor released.
            raise PlatformAmbiguous(type(error).__name__) from error

    async def read(self, key):
        """Return a row or None; `PlatformError` when the store fails."""
        self.counters["reads"] += 1
        try:
            async with asyncio.timeout(self.timeout):
                return await self.table.get(key)
        except PlatformError:
            raise
        except Exception as error:
            raise PlatformError(type(error).__name__) from error

    async def read_quietly(self, key):
        """Return a row; None when there is none or the store fails."""
        try:
            return await self.read(key)
        except PlatformError:
            return None


def is_settled(found, claim):
    """Return whether a row needs no more writing for a claim's outcome."""
    if found.attempt_id == claim.attempt_id:
        return found.state is claim.state
    # Another attempt at our revision or beyond: ours was not written and
    # can't be any more, or it was open and was taken over. An older row
    # is a stale read, or our write is still on its way.
    return found.revision >= claim.revision


def next_pause(pause):
    """Return the next, longer pause, jittered against common retries."""
    return min(LAST_PAUSE, pause * random.uniform(1.5, 2.5))
