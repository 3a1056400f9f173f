"""Rows with revisions, conditional transactions and a short past."""

import bisect
import itertools
import time
from dataclasses import dataclass, field

MAX_ROWS = 2_000_000
MAX_SCAN = 1_000
PAST_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Version:
    """One state of a row; `value` is None once it is deleted."""

    at: float
    value: dict | None
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write; as `papayabay_core.platform.Put`."""

    key: str
    value: dict | None
    expected: int | None


class ConditionUnmet(Exception):
    """A row has another revision than was expected."""


class TableFull(Exception):
    """The table holds as many rows as it may."""


@dataclass(slots=True)
class RowTable:
    """The rows in key order, each with its versions of the last seconds.

    Attributes
    ----------
    versions : dict of str to list of Version
        Oldest first.
    keys : list of str
        Sorted keys of `versions`.
    """

    versions: dict = field(default_factory=dict)
    keys: list = field(default_factory=list)

    def get(self, key, as_of=None):
        """Return the version of a row, or None; `as_of` looks back."""
        past = self.versions.get(key, ())
        if as_of is None:
            found = past[-1] if past else None
        else:
            older = (version for version in reversed(past) if version.at <= as_of)
            found = next(older, None)
        return None if found is None or found.value is None else found

    def scan(self, prefix, after, limit, as_of=None):
        """Return (key, version) pairs of a prefix, in order."""
        start = max(
            bisect.bisect_left(self.keys, prefix),
            bisect.bisect_right(self.keys, after),
        )
        following = itertools.islice(self.keys, start, None)
        matching = itertools.takewhile(lambda key: key.startswith(prefix), following)
        pairs = ((key, self.get(key, as_of)) for key in matching)
        present = (pair for pair in pairs if pair[1] is not None)
        return list(itertools.islice(present, min(limit, MAX_SCAN)))

    def apply(self, writes):
        """Apply all writes or raise `ConditionUnmet` or `TableFull`."""
        for write in writes:
            if write.expected not in (None, self.revision_of(write.key)):
                raise ConditionUnmet(write.key)
        if len(self.keys) + len(writes) > MAX_ROWS:
            raise TableFull
        at = time.monotonic()
        for write in writes:
            self.put(write, at)

    def revision_of(self, key):
        """Return the revision of a row; 0 when it does not exist."""
        found = self.get(key)
        return found.revision if found else 0

    def put(self, write, at):
        """Append a version to a row."""
        version = Version(at, write.value, self.revision_of(write.key) + 1)
        if write.key not in self.versions:
            bisect.insort(self.keys, write.key)
            self.versions[write.key] = []
        past = self.versions[write.key]
        past.append(version)
        forget_old(past, at - PAST_SECONDS)


def forget_old(past, before):
    """Drop versions which even a read as of `before` does not see."""
    seen = bisect.bisect_right(past, before, key=lambda version: version.at)
    del past[: max(0, seen - 1)]
