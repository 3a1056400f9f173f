"""Keeps quarantine entries in the platform's store across restarts."""

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
    """Writes entries to the store, one row each, and reads them at the start.

    Each row has one owner among the members, which writes it as soon as the
    store is available. Suspects are not stored: the next crashes reveal them
    again.

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
        self.outage = Outage(log, "store of quarantine entries")
        self.stored = {}
        self.expired = []
        self.restored_at = None
        self.owners = {}
        self.live_members = None
        self.counters = {"rows_read": 0, "rows_written": 0, "store_errors": 0}
        self.write_requested = asyncio.Event()
        registry.listeners.append(lambda urgent: self.write_requested.set())
        table.era.listeners.append(self.store_restored)

    async def run(self):
        """Write the rows that this daemon owns, until cancelled."""
        while True:
            await self.write_requested.wait()
            self.write_requested.clear()
            while not await self.write_due():
                await asyncio.sleep(RETRY_DELAY_S)
            self.log_restored()

    def store_restored(self):
        """Write all rows again, as the restored store may lack them."""
        self.stored.clear()
        self.restored_at = self.registry.clock()
        self.write_requested.set()

    def observe_era(self, era):
        """Take over a newer era of the store that a peer has observed.

        The owner of a row may never read the store, and would not notice that
        a restored store lacks the row.
        """
        if era > (self.table.era.current or 0):
            self.table.era.observe(era)

    def log_restored(self):
        """Log once that all rows are in the restored store."""
        if self.restored_at is None:
            return
        log.notice(
            "{} requests held back are in the store again, {:.1f} s after it came back",
            len(self.stored),
            self.registry.clock() - self.restored_at,
        )
        self.restored_at = None

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
            self.record_failure(error)
            return False
        self.outage.record_success()
        return True

    def record_failure(self, error):
        """Count a failure of the store."""
        self.counters["store_errors"] += 1
        self.outage.record_failure(error)

    def merge_row(self, row):
        """Merge one row; a malformed one is skipped."""
        try:
            fingerprint = bytes.fromhex(row.key.removeprefix(PREFIX))
            entry = self.parse(row.value)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            log.warning(
                "quarantine row {} is malformed: {!r}; skipping it", row.key, error
            )
            return
        self.registry.merge_entry(fingerprint, entry)
        self.stored[fingerprint] = content_of(entry)
        self.counters["rows_read"] += 1

    def parse(self, value):
        """Return the entry of a row.

        Wall clocks may differ between writer and reader, so the age is limited
        to the range from 0 to the TTL. Beyond the TTL, this daemon would
        delete a row that is still valid at others.
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
                self.expired.append(fingerprint)

    def is_owner(self, fingerprint):
        """Return whether this daemon owns the row of a request."""
        live = self.members.live()
        if live is not self.live_members:
            self.live_members = live
            self.owners = {}
        if fingerprint not in self.owners:
            self.owners[fingerprint] = self.pick_owner(fingerprint, live)
        return self.owners[fingerprint] is self.members.local

    def pick_owner(self, fingerprint, live):
        """Return the member that owns the row of a request."""
        (owner,) = pick_by_rendezvous(live, fingerprint.hex(), 1)
        return owner

    def due_fingerprints(self):
        """Return the fingerprints whose rows this daemon has to write."""
        return [
            fingerprint
            for fingerprint, entry in self.registry.entries.items()
            if self.stored.get(fingerprint) != content_of(entry)
            and self.is_owner(fingerprint)
        ]

    async def write_due(self):
        """Write and delete the rows that are due; return whether all were."""
        try:
            for fingerprint in self.due_fingerprints():
                await self.write(fingerprint)
            while self.expired:
                await self.table.write([Put(key_of(self.expired[-1]), None)])
                self.expired.pop()
        except ConditionFailed:
            # Another daemon has written the row; the next try reads it first.
            return False
        except (PlatformError, TimeoutError) as error:
            self.record_failure(error)
            return False
        self.outage.record_success()
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
    """Return the sets that an entry's row has to contain."""
    return frozenset(entry.crashes), frozenset(entry.exonerated)
