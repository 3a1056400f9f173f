"""In-memory table of idempotency keys and their outcomes."""

import asyncio
import hashlib
import heapq
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.idempotency.claims import Claim

MAX_TABLE_BYTES = 16 * 1024 * 1024
"""Limit on the estimated size of all keys together."""
RUNNING_ENTRY_BYTES = 6_144
"""Estimated size of an undecided key with its entry, task, stack frames,
caller and claim."""
HELD_ENTRY_BYTES = 768
"""Estimated size of a key whose claim is held; it has no task."""
RECORD_OVERHEAD_BYTES = 160
"""Estimated size of a decided key's table slots, without its record."""
LARGE_ANSWER_BYTES = 64 * 1024
"""A larger answer is kept only while the table has room for it."""
BUCKET_SECONDS = 15.0
"""Records that expire within the same interval are dropped together."""
FULL_RETRY_AFTER_MS = 1_000
RECORD_NAME_BYTES = 16
DIGEST_BYTES = 32


class KeyState(Enum):
    """State of a key at this daemon.

    ``RUNNING``: an attempt is in flight, or about to claim the key.
    ``HELD``: this process has claimed the key but certainly not run the call;
    the next attempt uses the same claim.
    ``DONE``: the call has run and was answered.
    ``UNKNOWN``: the call may have run.
    ``RELEASING``: the claim is being released in the store.
    """

    RUNNING = "running"
    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASING = "releasing"


DECIDED_STATES = (KeyState.DONE, KeyState.UNKNOWN)


@dataclass(slots=True, eq=False)
class Entry:
    """State of one key.

    Attributes
    ----------
    digest : str
        Digest of the first call; see `keys.call_digest`.
    state : KeyState
    task : asyncio.Task or None
        The attempt. Its result is the answer or the `CallError`. None once
        the result is no longer needed.
    waiters : int
        Number of callers that wait for the attempt.
    first_caller_waits : bool
        Whether the first caller still waits and so reads a streamed answer.
    answer : bytes or None
        The complete first answer, encoded; None if it is too large to keep.
    claim : Claim or None
        The claim in the store, while it is held.
    held_until : float
        When a held claim is released, on the table's clock.
    released : asyncio.Event or None
        Present while releasing; set once the store has the release.
    size : int
        Bytes counted for this entry.
    """

    digest: str
    state: KeyState = KeyState.RUNNING
    task: asyncio.Task | None = None
    waiters: int = 0
    first_caller_waits: bool = False
    answer: bytes | None = None
    claim: Claim | None = None
    held_until: float = 0.0
    released: asyncio.Event | None = None
    size: int = 0


class KeyTable:
    """Table of keys, bounded in bytes.

    An undecided key has an `Entry`, which is never evicted: without it a
    repeat would run the call a second time. This holds for keys that are
    running, held, or whose outcome is not in the store yet. New keys are
    refused when the table is full. A decided key is replaced by a compact
    record, which expires; see `replace_by_record`.

    Attributes
    ----------
    entries : dict
        `Entry` by (service, key).
    records : dict
        Encoded record by `record_name`.
    used_bytes : int
        Estimated size of all entries and records.
    buckets : dict
        Names of records by the number of the interval in which they expire.
    bucket_heap : list
        Numbers of the buckets, as a heap.
    """

    def __init__(self, clock, max_bytes=MAX_TABLE_BYTES):
        self.clock = clock
        self.max_bytes = max_bytes
        self.entries = {}
        self.records = {}
        self.used_bytes = 0
        self.buckets = {}
        self.bucket_heap = []
        self.counters = Counter()

    def get(self, scope):
        """Return the entry of a (service, key), or None if there is none."""
        entry = self.entries.get(scope)
        if entry is not None:
            return entry
        record = self.records.get(record_name(scope))
        return None if record is None else decode_record(record)

    def add(self, scope, digest):
        """Add a running entry and return it.

        Raises
        ------
        CallError
            OVERLOADED if the table is full.
        """
        self.drop_expired()
        if self.used_bytes >= self.max_bytes:
            self.counters["full"] += 1
            raise CallError(ErrorKind.OVERLOADED, "too many keys", FULL_RETRY_AFTER_MS)
        entry = self.entries[scope] = Entry(digest)
        self.resize(entry, RUNNING_ENTRY_BYTES + sum(map(len, scope)))
        return entry

    def resize(self, entry, size):
        """Change the number of bytes counted for an entry."""
        self.used_bytes += size - entry.size
        entry.size = size

    def count_as_held(self, entry):
        """Count a running entry at the size of a held one."""
        self.resize(entry, entry.size - RUNNING_ENTRY_BYTES + HELD_ENTRY_BYTES)

    def count_as_running(self, entry):
        """Count a held entry at the size of a running one."""
        self.resize(entry, entry.size - HELD_ENTRY_BYTES + RUNNING_ENTRY_BYTES)

    def keep_answer(self, entry, answer):
        """Keep the first answer of a key; a large one only if there is room.

        Parameters
        ----------
        entry : Entry
        answer : bytes
            As encoded by `answers.encode_answer`.
        """
        full = self.used_bytes + len(answer) > self.max_bytes
        if full and len(answer) > LARGE_ANSWER_BYTES:
            self.counters["not_kept"] += 1
            return
        entry.answer = answer
        self.resize(entry, entry.size + len(answer))

    def replace_by_record(self, scope, entry, expires_at):
        """Replace a decided entry by a record.

        The record stays at least until `expires_at` and is dropped with all
        others of its bucket.
        """
        self.remove(scope, entry)
        name = record_name(scope)
        record = encode_record(entry)
        self.records[name] = record
        self.used_bytes += RECORD_OVERHEAD_BYTES + len(record)
        bucket = int(expires_at // BUCKET_SECONDS) + 1
        if bucket not in self.buckets:
            self.buckets[bucket] = []
            heapq.heappush(self.bucket_heap, bucket)
        self.buckets[bucket].append(name)

    def remove(self, scope, entry):
        """Remove an entry, unless its key has a newer one."""
        if self.entries.get(scope) is entry:
            del self.entries[scope]
            self.used_bytes -= entry.size

    def drop_expired(self):
        """Drop the expired records."""
        now = self.clock()
        while self.bucket_heap and self.bucket_heap[0] * BUCKET_SECONDS <= now:
            for name in self.buckets.pop(heapq.heappop(self.bucket_heap)):
                self.used_bytes -= RECORD_OVERHEAD_BYTES + len(self.records.pop(name))


def record_name(scope):
    """Return a short digest of a (service, key).

    It bounds the size of a record's name, as callers choose their keys.
    """
    text = "\n".join(scope).encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=RECORD_NAME_BYTES).digest()


def encode_record(entry):
    """Return a decided entry as bytes: state, digest and kept answer."""
    state = DECIDED_STATES.index(entry.state)
    return bytes([state]) + bytes.fromhex(entry.digest) + (entry.answer or b"")


def decode_record(record):
    """Return the entry that a record encodes."""
    digest = record[1 : 1 + DIGEST_BYTES].hex()
    answer = record[1 + DIGEST_BYTES :] or None
    return Entry(digest, DECIDED_STATES[record[0]], answer=answer)
