"""What this process remembers of the keys that it ran."""

import asyncio
import hashlib
import heapq
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency.claims import Claim

MAX_BYTES = 16 * 1024 * 1024
"""Bytes that all keys together may take, as counted here."""
LIVE_BYTES = 6_144
"""Counted for an undecided key: its entry, task, frames, caller, claim."""
HELD_BYTES = 768
"""Counted for a key that is held, which has no task."""
RECORD_BYTES = 160
"""Counted for a decided one beside its record: its places in the tables."""
LARGE_ANSWER_BYTES = 64 * 1024
"""A larger answer is only kept while there is room."""
BUCKET_SECONDS = 15.0
FULL_RETRY_MS = 1_000
NAME_BYTES = 16
DIGEST_BYTES = 32


class KeyState(Enum):
    """Where a key stands at this daemon.

    ``HELD`` is claimed by this process and certainly not run; the next
    attempt goes on with the claim.
    """

    RUNNING = "running"
    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASING = "releasing"


RECORD_STATES = (KeyState.DONE, KeyState.UNKNOWN)


@dataclass(slots=True, eq=False)
class Entry:
    """One key.

    Attributes
    ----------
    digest : str
        Of the first call; see `keys.call_digest`.
    state : KeyState
    task : asyncio.Task or None
        The attempt; its result is the answer, or the `CallError`. None
        once nobody needs it.
    waiters : int
        Callers that wait for the attempt.
    streams : bool
        Whether the first caller is there to read a streamed answer.
    answer : bytes or None
        The complete first answer; None when too large to keep.
    claim : Claim or None
        The standing claim of a key that is held.
    held_until : float
        When a held claim is released, on the table's clock.
    released : asyncio.Event or None
        While releasing; set once the claim is given back in the store.
    """

    digest: str
    state: KeyState = KeyState.RUNNING
    task: asyncio.Task | None = None
    waiters: int = 0
    streams: bool = False
    answer: bytes | None = None
    claim: Claim | None = None
    held_until: float = 0.0
    released: asyncio.Event | None = None
    size: int = 0


class KeyTable:
    """Table of keys, bounded in bytes.

    Undecided keys have an `Entry`; decided ones shrink to one record of
    bytes when `retire` names a time for dropping them. An entry that is
    running, held, or whose outcome is not in the store yet, therefore stays,
    and new keys are refused when there is no room: to drop an undecided key
    would let a repeat run the call a second time.
    """

    def __init__(self, clock, max_bytes=MAX_BYTES):
        self.clock = clock
        self.max_bytes = max_bytes
        self.entries = {}
        self.records = {}
        self.bytes = 0
        self.buckets = {}
        self.due = []
        self.counters = Counter()

    def get(self, scope):
        """Return the entry of a (service, key), or None."""
        entry = self.entries.get(scope)
        if entry is not None:
            return entry
        record = self.records.get(short_name(scope))
        return None if record is None else read_record(record)

    def add(self, scope, digest):
        """Return a new running entry.

        Raises
        ------
        CallError
            OVERLOADED when there is no room.
        """
        self.drop_expired()
        if self.bytes >= self.max_bytes:
            self.counters["full"] += 1
            raise CallError(ErrorKind.OVERLOADED, "too many keys", FULL_RETRY_MS)
        entry = self.entries[scope] = Entry(digest)
        self.resize(entry, LIVE_BYTES + sum(map(len, scope)))
        return entry

    def resize(self, entry, size):
        """Count an entry for another number of bytes."""
        self.bytes += size - entry.size
        entry.size = size

    def hold(self, entry):
        """Count an entry as one that is held."""
        self.resize(entry, entry.size - LIVE_BYTES + HELD_BYTES)

    def resume(self, entry):
        """Count an entry that was held as one that runs."""
        self.resize(entry, entry.size - HELD_BYTES + LIVE_BYTES)

    def keep_answer(self, entry, answer):
        """Keep the first answer of an entry, a large one if it fits.

        Parameters
        ----------
        entry : Entry
        answer : bytes
            Packed.
        """
        full = self.bytes + len(answer) > self.max_bytes
        if full and len(answer) > LARGE_ANSWER_BYTES:
            self.counters["not_kept"] += 1
            return
        entry.answer = answer
        self.resize(entry, entry.size + len(answer))

    def retire(self, scope, entry, at):
        """Shrink a decided entry to a record, dropped some time after `at`."""
        self.remove(scope, entry)
        name = short_name(scope)
        record = write_record(entry)
        self.records[name] = record
        self.bytes += RECORD_BYTES + len(record)
        bucket = int(at // BUCKET_SECONDS) + 1
        if bucket not in self.buckets:
            self.buckets[bucket] = []
            heapq.heappush(self.due, bucket)
        self.buckets[bucket].append(name)

    def remove(self, scope, entry):
        """Forget an entry, unless its key has a newer one."""
        if self.entries.get(scope) is entry:
            del self.entries[scope]
            self.bytes -= entry.size

    def drop_expired(self):
        """Drop the records whose time has come."""
        now = self.clock()
        while self.due and self.due[0] * BUCKET_SECONDS <= now:
            for name in self.buckets.pop(heapq.heappop(self.due)):
                self.bytes -= RECORD_BYTES + len(self.records.pop(name))


def short_name(scope):
    """Return a short digest of a (service, key); callers choose the keys."""
    text = "\n".join(scope).encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=NAME_BYTES).digest()


def write_record(entry):
    """Return a decided entry as bytes: state, digest, kept answer."""
    state = RECORD_STATES.index(entry.state)
    return bytes([state]) + bytes.fromhex(entry.digest) + (entry.answer or b"")


def read_record(record):
    """Return the entry of a record."""
    digest = record[1 : 1 + DIGEST_BYTES].hex()
    answer = record[1 + DIGEST_BYTES :] or None
    return Entry(digest, RECORD_STATES[record[0]], answer=answer)
