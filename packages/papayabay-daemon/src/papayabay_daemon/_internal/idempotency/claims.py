"""Storage of claims on caller-chosen keys in the platform's table."""

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
CLAIM_PREFIX = "claim/"
INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
OUTCOME_CONCURRENCY = 8
"""Most outcomes and releases that are written at the same time."""
RELEASE_CONCURRENCY = 2
"""Most releases among them; fewer, so that outcomes do not wait for them."""
ALREADY_WRITTEN = -1
"""Stands for a revision where no write of the outcome is needed any more."""


class ClaimState(Enum):
    """State of a claim's row.

    ``CLAIMED``: an attempt holds the key, outcome not known yet.
    ``DONE``: the call has run and was answered.
    ``UNKNOWN``: the call may have run.
    ``OPEN``: the claim was released, the key may be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    OPEN = "open"


@dataclass(slots=True)
class Claim:
    """A claim on a key, as stored in a row of the table.

    Attributes
    ----------
    digest : str
        Digest of the call; see `keys.call_digest`.
    attempt_id : str
        Identifies the attempt, so that a write whose answer was lost can be
        recognised when its row is read back.
    daemon, instance_id : str
        The daemon that owns the claim, and its process.
    state : ClaimState or None
        None for a row that this version can't read.
    answer : dict or None
        First answer of a done claim; see `answers.pack_answer`.
    revision : int
        Revision of the row. Until the write is confirmed, the revision that
        the row would get.
    is_confirmed : bool
        Whether the store is known to hold the claim at `revision`.
    """

    digest: str
    attempt_id: str
    daemon: str
    instance_id: str
    state: ClaimState | None = ClaimState.CLAIMED
    answer: dict | None = None
    revision: int = 0
    is_confirmed: bool = False


class AmbiguousClaimError(Exception):
    """The claim may be in the store, but its call was not dispatched.

    It must not be dispatched any more.
    """


def claim_key(service, key):
    """Return the name of the row for a service's key."""
    text = f"{service}\n{key}".encode("utf-8", "surrogateescape")
    return CLAIM_PREFIX + hashlib.sha256(text).hexdigest()


def pack_claim(claim):
    """Return a claim as JSON values for its row."""
    return {
        "format": CLAIM_FORMAT,
        "digest": claim.digest,
        "attempt_id": claim.attempt_id,
        "daemon": claim.daemon,
        "life": claim.instance_id,
        "state": claim.state.value,
        "answer": claim.answer,
    }


def unpack_claim(row):
    """Return the claim that a row holds.

    A row of a newer format, or a malformed one, gives a claim whose state is
    None. Its outcome is not known, so the call must not be run.
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
    """Acquires claims, and writes their outcomes and releases.

    Parameters
    ----------
    table : TableService
    clock : callable
        Returns seconds.
    sleep : callable
        Coroutine function that waits some seconds.
    timeout : float
        Seconds after which one store operation is abandoned.
    """

    def __init__(self, table, clock, sleep, timeout):
        self.table = table
        self.clock = clock
        self.sleep = sleep
        self.timeout = timeout
        self.counters = Counter()
        self.budget = WriteBudget(clock)
        self.outcome_slots = asyncio.Semaphore(OUTCOME_CONCURRENCY)
        self.release_slots = asyncio.Semaphore(RELEASE_CONCURRENCY)

    def admit(self):
        """Take a token for a first claim; see `WriteBudget.admit`."""
        try:
            self.budget.admit()
        except CallError:
            self.counters["claims_held_back"] += 1
            raise

    async def acquire(self, key, claim, expires_at):
        """Claim a key in the store; `admit` has to be called before.

        Parameters
        ----------
        key : str
            Name of the row; see `claim_key`.
        claim : Claim
        expires_at : float
            Time on the clock at which the call expires.

        Returns
        -------
        Claim or None
            None if the store now holds `claim`; else the other claim that
            the store holds for the key.

        Raises
        ------
        CallError
            STORE_UNAVAILABLE if the store certainly does not hold `claim`.
        AmbiguousClaimError
            If it is still uncertain at `expires_at` whether it does.
        """
        expected = 0
        ambiguous = False
        backoff = INITIAL_BACKOFF_SECONDS
        is_first_write = True
        while self.clock() < expires_at:
            if not is_first_write:
                self.budget.spend()
            is_first_write = False
            claim.revision = expected + 1
            try:
                await self.write(key, claim, expected)
                claim.is_confirmed = True
                return None
            except ConditionFailed:
                pass
            except PlatformAmbiguous:
                # The write may have succeeded although its answer was lost.
                # Claiming again with another attempt id would block the key
                # for ever, and going on would run the call without a claim.
                # So the row is read and compared by attempt id.
                ambiguous = True
                self.counters["ambiguous"] += 1
            except PlatformError as error:
                if not ambiguous:
                    raise self.unavailable() from error
            row = await self.read_or_none(key)
            # A row with at most the expected revision is a stale read and
            # says nothing about this write.
            if row is not None and row.revision > expected:
                found = unpack_claim(row)
                if found.attempt_id == claim.attempt_id:
                    claim.revision = row.revision
                    claim.is_confirmed = True
                    return None
                if found.state is not ClaimState.OPEN:
                    return found
                expected = row.revision
                continue
            await self.sleep(min(backoff, max(expires_at - self.clock(), 0.0)))
            backoff = next_backoff(backoff)
        if ambiguous:
            raise AmbiguousClaimError
        raise self.unavailable()

    def unavailable(self):
        """Return the error for a key that could not be claimed."""
        return self.budget.unavailable("the key could not be claimed")

    async def write_outcome(self, key, claim):
        """Write the outcome of this daemon's claim, retrying until it is done.

        A missing row is inserted. A claim write that is still in flight then
        fails its condition. Otherwise it would arrive late and block the key
        with a claim that no daemon remembers.

        The outcome is written only over a revision that is known to be this
        attempt's own or open. Written over a guessed revision, a late write
        could hit the claim that another attempt has made meanwhile, and
        release it while that attempt runs.
        """
        expected = claim.revision if claim.is_confirmed else None
        backoff = INITIAL_BACKOFF_SECONDS
        is_release = claim.state is ClaimState.OPEN
        release_slot = self.release_slots if is_release else nullcontext()
        while True:
            async with release_slot, self.outcome_slots:
                if await self.try_write_outcome(key, claim, expected):
                    return
                expected = await self.find_expected_revision(key, claim)
            if expected is ALREADY_WRITTEN:
                return
            await self.sleep(backoff)
            backoff = next_backoff(backoff)

    async def try_write_outcome(self, key, claim, expected):
        """Write an outcome over a known revision; return whether it was.

        Nothing is written if `expected` is None.
        """
        if expected is None:
            return False
        self.budget.spend()
        self.counters["outcome_writes"] += 1
        try:
            await self.write(key, claim, expected)
        except PlatformError:
            return False
        return True

    async def find_expected_revision(self, key, claim):
        """Return the revision that the outcome may be written over.

        Returns
        -------
        int or None
            `ALREADY_WRITTEN` if nothing is to be written any more; None if
            the store could not be read.
        """
        try:
            row = await self.read(key)
        except PlatformError:
            return None
        if row is None:
            return 0 if claim.state is ClaimState.OPEN else claim.revision
        found = unpack_claim(row)
        if is_outcome_written(found, claim):
            return ALREADY_WRITTEN
        if found.attempt_id == claim.attempt_id or claim.state is ClaimState.OPEN:
            return row.revision
        return claim.revision

    async def write(self, key, claim, expected):
        """Write a row if it has the expected revision, within the timeout.

        Raises
        ------
        ConditionFailed
            If the row has another revision.
        PlatformAmbiguous
            If the write may have succeeded.
        PlatformError
            If the store refused it.
        """
        self.counters["writes"] += 1
        try:
            async with asyncio.timeout(self.timeout):
                await self.table.write([Put(key, pack_claim(claim), expected)])
        except (ConditionFailed, PlatformAmbiguous):
            raise
        except PlatformError:
            # The store refused the write, most likely because it is
            # overloaded. More writes would only delay those that it accepts.
            self.counters["refused"] += 1
            self.budget.record_refusal()
            raise
        except Exception as error:
            # A client that times out or fails in an unexpected way may have
            # sent the write. If the error propagated, the attempt would end
            # with its key neither run nor released.
            raise PlatformAmbiguous(type(error).__name__) from error

    async def read(self, key):
        """Return a row, or None if there is none.

        Raises
        ------
        PlatformError
            If the store fails or does not answer in time.
        """
        self.counters["reads"] += 1
        try:
            async with asyncio.timeout(self.timeout):
                return await self.table.get(key)
        except PlatformError:
            raise
        except Exception as error:
            raise PlatformError(type(error).__name__) from error

    async def read_or_none(self, key):
        """Return a row, or None if there is none or the store fails."""
        try:
            return await self.read(key)
        except PlatformError:
            return None


def is_outcome_written(found, claim):
    """Return whether no write is needed any more for a claim's outcome."""
    if found.attempt_id == claim.attempt_id:
        return found.state is claim.state
    # Another attempt's row at the claim's revision or later: the claim was
    # not written and cannot be any more, or it was released and the key
    # claimed again. An older row is a stale read, or the claim's own write is
    # still in flight.
    return found.revision >= claim.revision


def next_backoff(backoff):
    """Return the next backoff, jittered so that retries do not coincide."""
    return min(MAX_BACKOFF_SECONDS, backoff * random.uniform(1.5, 2.5))
