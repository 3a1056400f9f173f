"""Counts of what the stand-in was asked and what it did."""

from collections import Counter
from dataclasses import dataclass, field, fields

MAX_PREFIXES = 256
OTHER = "(other)"


@dataclass(slots=True)
class Counters:
    """Counts since the start.

    Attributes
    ----------
    reads, writes : int
        Rows and objects read (a scan is one) and written (each row of a
        transaction is one).
    refused : int
        Requests answered 429.
    conflicts : int
        Transactions answered 412.
    unavailable : int
        Requests met by a `down` fault.
    lost : int
        Writes applied whose answer was lost on purpose.
    read_bytes, written_bytes : Counter
        Bytes per key prefix, which is the key up to its last slash.
    """

    reads: int = 0
    writes: int = 0
    refused: int = 0
    conflicts: int = 0
    unavailable: int = 0
    lost: int = 0
    read_bytes: Counter = field(default_factory=Counter)
    written_bytes: Counter = field(default_factory=Counter)

    def count_read(self, key, size):
        """Count one read of so many bytes."""
        self.reads += 1
        add_bytes(self.read_bytes, key, size)

    def count_write(self, key, size):
        """Count one write of so many bytes."""
        self.writes += 1
        add_bytes(self.written_bytes, key, size)

    def values(self):
        """Return plain values for JSON.

        Not by `dataclasses.asdict`: it makes a new Counter of the pairs of
        each Counter, with tuples as keys, which JSON can't take; whoever
        asked got status 500.
        """
        return {one.name: getattr(self, one.name) for one in fields(self)}


def add_bytes(counter, key, size):
    """Add to a key's prefix; once there are too many, to `OTHER`."""
    prefix = key.rpartition("/")[0] or key
    known = prefix in counter or len(counter) < MAX_PREFIXES
    counter[prefix if known else OTHER] += size
