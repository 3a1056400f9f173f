"""Verdicts in the platform's store, where they outlast all daemons."""

import asyncio
import time

import logbook

from papayabay_core.exceptions import ConditionFailed, PlatformError
from papayabay_core.platform import Put
from papayabay_daemon._internal.membership.seeds import rendezvous_weight
from papayabay_daemon._internal.outage import Outage
from papayabay_daemon._internal.quarantine.records import Verdict

PREFIX = "quarantine/"
PAGE_ROWS = 100
AGAIN_S = 1.0
"""Pause after the store has failed."""
log = logbook.Logger("papayabay.quarantine")


class QuarantineRows:
    """Reads all verdicts at the start, and writes each that is new.

    Suspicions are not kept there: they are many, and the next ends make them
    anew. A verdict is written by the member that its fingerprint falls to, so
    that one call is made for it and not one by each daemon; while the store is
    away it goes from daemon to daemon alone, and is written when it is back.

    Parameters
    ----------
    book : QuarantineBook
    table : TableService
    members : Members
    """

    def __init__(self, book, table, members):
        self.book = book
        self.table = table
        self.members = members
        self.outage = Outage(log, "rows of requests held back")
        self.stored = {}
        self.dropped = []
        self.came_back_at = None
        self.counters = {"rows_read": 0, "rows_written": 0, "store_errors": 0}
        self.wanted = asyncio.Event()
        book.listeners.append(lambda urgent: self.wanted.set())
        table.era.listeners.append(self.store_came_back)

    async def run(self):
        """Write what falls to this daemon, until cancelled."""
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            while not await self.keep():
                await asyncio.sleep(AGAIN_S)
            self.tell_kept_again()

    def store_came_back(self):
        """Take no row for kept: the store has come back from an older copy.

        Were they not written again, they would be known to the daemons alone,
        and to nobody once all have started anew.
        """
        self.stored.clear()
        self.came_back_at = self.book.clock()
        self.wanted.set()

    def hear_era(self, era):
        """Take a peer's word for the store's era.

        Few daemons read the store; who keeps a row may never speak to it, and
        would not hear that the row is gone.
        """
        if era > (self.table.era.current or 0):
            self.table.era.note(era)

    def tell_kept_again(self):
        """Log, once, that all is in the store again."""
        if self.came_back_at is None:
            return
        log.notice(
            "{} requests held back are in the store again, {:.1f} s after it came back",
            len(self.stored),
            self.book.clock() - self.came_back_at,
        )
        self.came_back_at = None

    async def read(self):
        """Take in all verdicts; return whether the store could be read."""
        after = ""
        try:
            while rows := await self.table.scan(PREFIX, after, PAGE_ROWS):
                for row in rows:
                    self.take(row)
                after = rows[-1].key
                if len(rows) < PAGE_ROWS:
                    break
        except (PlatformError, TimeoutError) as error:
            self.failed(error)
            return False
        self.outage.worked()
        return True

    def failed(self, error):
        """Note that the store did not answer."""
        self.counters["store_errors"] += 1
        self.outage.failed(error)

    def take(self, row):
        """Take in one row; what is malformed is passed over."""
        try:
            fingerprint = bytes.fromhex(row.key.removeprefix(PREFIX))
            verdict = self.parse(row.value)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("row {} passed over: {!r}", row.key, error)
            return
        self.book.take_verdict(fingerprint, verdict)
        self.stored[fingerprint] = content_of(verdict)
        self.counters["rows_read"] += 1

    def parse(self, value):
        """Return the verdict of a row.

        The time of day may have been set wrong, here or where it was written.
        So a verdict is never taken for newer than now, nor for older than one
        that has just lapsed: a row would be dropped that others still need.
        """
        verdict = Verdict(
            {bytes.fromhex(name) for name in value["ends"]},
            {bytes.fromhex(name) for name in value["cleared"]},
        )
        age = time.time() - float(value["since"])
        verdict.since = self.book.clock() - min(max(0.0, age), verdict.term_s)
        return verdict

    def forget(self):
        """Forget what is too old, and remember which rows are to go."""
        for fingerprint in self.book.forget():
            if self.stored.pop(fingerprint, None) and self.falls_here(fingerprint):
                self.dropped.append(fingerprint)

    def falls_here(self, fingerprint):
        """Whether this daemon keeps the row of a request."""
        keeper = max(
            self.members.live(),
            key=lambda member: rendezvous_weight(member.name, fingerprint.hex()),
        )
        return keeper is self.members.local

    def due(self):
        """Return the fingerprints whose rows this daemon has to write."""
        return [
            fingerprint
            for fingerprint, verdict in self.book.verdicts.items()
            if self.stored.get(fingerprint) != content_of(verdict)
            and self.falls_here(fingerprint)
        ]

    async def keep(self):
        """Write what is due; return whether the store did its part."""
        try:
            for fingerprint in self.due():
                await self.write(fingerprint)
            while self.dropped:
                await self.table.write([Put(key_of(self.dropped[-1]), None)])
                self.dropped.pop()
        except ConditionFailed:
            # Another daemon has written it meanwhile; read at the next try.
            return False
        except (PlatformError, TimeoutError) as error:
            self.failed(error)
            return False
        self.outage.worked()
        return True

    async def write(self, fingerprint):
        """Bring one row up to what is known, and take in what it holds."""
        key = key_of(fingerprint)
        row = await self.table.get(key)
        if row is not None:
            self.take(row)
        verdict = self.book.verdicts[fingerprint]
        content = content_of(verdict)
        if self.stored.get(fingerprint) == content:
            return
        age = self.book.clock() - verdict.since
        value = {
            "ends": sorted(name.hex() for name in verdict.ends),
            "cleared": sorted(name.hex() for name in verdict.cleared),
            "since": time.time() - age,
        }
        await self.table.write([Put(key, value, row.revision if row else 0)])
        self.stored[fingerprint] = content
        self.counters["rows_written"] += 1


def key_of(fingerprint):
    """Return the key of a request's row."""
    return f"{PREFIX}{fingerprint.hex()}"


def content_of(verdict):
    """Return what of a verdict has to be in its row."""
    return frozenset(verdict.ends), frozenset(verdict.cleared)
