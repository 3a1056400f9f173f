"""Quarantine entries in the platform's store, which outlast all daemons."""

import asyncio
import time

import logbook

from papayabay_core.exceptions import ConditionFailed, PlatformError
from papayabay_core.platform import Put
from papayabay_daemon._internal.membership.seeds import pick_by_rendezvous
from papayabay_daemon._internal.outage import Outage
from papayabay_daemon._internal.quarantine.records import QuarantineEntry

PREFIX = "quarantine/"
PAGE_ROWS = 100
RETRY_DELAY_S = 1.0
"""Delay of a retry after the store has failed."""
log = logbook.Logger("papayabay.quarantine")


class QuarantineRows:
    """Stores entries, one row each, and loads them at the start.

    Each row has one owner among the members, which writes it as soon as the
    store answers. Suspects are not stored: the next crashes show them again.

    Parameters
    ----------
    registry : QuarantineRegistry
    table : TableService
    members : Members
    """

    def __init__(self, registry, table, members):
        self.registry = registry
        self.table = table
        self.members = members
        self.outage = Outage(log, "rows of requests held back")
        self.stored = {}
        self.dropped = []
        self.came_back_at = None
        self.owners = {}
        self.live = None
        self.counters = {"rows_read": 0, "rows_written": 0, "store_errors": 0}
        self.wanted = asyncio.Event()
        registry.listeners.append(lambda urgent: self.wanted.set())
        table.era.listeners.append(self.store_came_back)

    async def run(self):
        """Write the rows that this daemon owns, until cancelled."""
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            while not await self.keep():
                await asyncio.sleep(RETRY_DELAY_S)
            self.log_restored()

    def store_came_back(self):
        """Write all rows again: a restored store may have lost them."""
        self.stored.clear()
        self.came_back_at = self.registry.clock()
        self.wanted.set()

    def observe_era(self, era):
        """Take over the era that a peer has observed.

        The owner of a row may never read the store, and would not notice that
        the row is lost.
        """
        if era > (self.table.era.current or 0):
            self.table.era.observe(era)

    def log_restored(self):
        """Log, once, that all rows are stored again."""
        if self.came_back_at is None:
            return
        log.notice(
            "{} requests held back are in the store again, {:.1f} s after it came back",
            len(self.stored),
            self.registry.clock() - self.came_back_at,
        )
        self.came_back_at = None

    async def read(self):
        """Merge all rows; return whether the store could be read."""
        after = ""
        try:
            while rows := await self.table.scan(PREFIX, after, PAGE_ROWS):
                for row in rows:
                    self.merge_row(row)
                after = rows[-1].key
                if len(rows) < PAGE_ROWS:
                    break
        except (PlatformError, TimeoutError) as error:
            self.failed(error)
            return False
        self.outage.worked()
        return True

    def failed(self, error):
        """Count a failure of the store."""
        self.counters["store_errors"] += 1
        self.outage.failed(error)

    def merge_row(self, row):
        """Merge one row; a malformed one is skipped."""
        try:
            fingerprint = bytes.fromhex(row.key.removeprefix(PREFIX))
            entry = self.parse(row.value)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("row {} is malformed and skipped: {!r}", row.key, error)
            return
        self.registry.merge_entry(fingerprint, entry)
        self.stored[fingerprint] = content_of(entry)
        self.counters["rows_read"] += 1

    def parse(self, value):
        """Return the entry of a row.

        Wall clocks may differ between writer and reader. An age is therefore
        bounded by 0 and the TTL; beyond it, the row would be deleted here
        while it is still valid elsewhere.
        """
        entry = QuarantineEntry(
            {bytes.fromhex(name) for name in value["ends"]},
            {bytes.fromhex(name) for name in value["cleared"]},
        )
        age = time.time() - float(value["since"])
        entry.since = self.registry.clock() - min(max(0.0, age), entry.ttl_s)
        return entry

    def expire(self):
        """Expire entries, and schedule the deletion of their rows."""
        for fingerprint in self.registry.expire():
            if self.stored.pop(fingerprint, None) and self.is_owner(fingerprint):
                self.dropped.append(fingerprint)

    def is_owner(self, fingerprint):
        """Return whether this daemon owns the row of a request."""
        live = self.members.live()
        if live is not self.live:
            self.live = live
            self.owners = {}
        if fingerprint not in self.owners:
            self.owners[fingerprint] = self.pick_owner(fingerprint, live)
        return self.owners[fingerprint] is self.members.local

    def pick_owner(self, fingerprint, live):
        """Return the member that owns the row of a request."""
        (owner,) = pick_by_rendezvous(live, fingerprint.hex(), 1)
        return owner

    def due(self):
        """Return the fingerprints whose rows this daemon has to write."""
        return [
            fingerprint
            for fingerprint, entry in self.registry.entries.items()
            if self.stored.get(fingerprint) != content_of(entry)
            and self.is_owner(fingerprint)
        ]

    async def keep(self):
        """Write the rows that are due; return whether all were."""
        try:
            for fingerprint in self.due():
                await self.write(fingerprint)
            while self.dropped:
                await self.table.write([Put(key_of(self.dropped[-1]), None)])
                self.dropped.pop()
        except ConditionFailed:
            # Another daemon has written the row; it is read by the next try.
            return False
        except (PlatformError, TimeoutError) as error:
            self.failed(error)
            return False
        self.outage.worked()
        return True

    async def write(self, fingerprint):
        """Merge one row with the registry, and write the result."""
        key = key_of(fingerprint)
        row = await self.table.get(key)
        if row is not None:
            self.merge_row(row)
        entry = self.registry.entries[fingerprint]
        content = content_of(entry)
        if self.stored.get(fingerprint) == content:
            return
        age = self.registry.clock() - entry.since
        value = {
            "ends": sorted(name.hex() for name in entry.crashes),
            "cleared": sorted(name.hex() for name in entry.exonerated),
            "since": time.time() - age,
        }
        await self.table.write([Put(key, value, row.revision if row else 0)])
        self.stored[fingerprint] = content
        self.counters["rows_written"] += 1


def key_of(fingerprint):
    """Return the key of a request's row."""
    return f"{PREFIX}{fingerprint.hex()}"


def content_of(entry):
    """Return what of an entry its row has to hold."""
    return frozenset(entry.crashes), frozenset(entry.exonerated)
