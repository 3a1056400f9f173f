"""Tests of the configuration log against the simulated platform."""

import asyncio
import json
import unittest
from unittest import mock

from papayabay_bench.platform import Faults, serve_platform
from papayabay_core.configuration import (
    CommitOutcome,
    ConfigurationLog,
    CorruptRecord,
    UpgradeNeeded,
    new_patch,
)
from papayabay_core.configuration.patch import patch_key
from papayabay_core.configuration.snapshot import POINTER_NAME, snapshot_name
from papayabay_core.exceptions import PlatformError, PolicyError
from papayabay_core.platform import HttpObjectStore, HttpTableService, Put

ACCEPTED, STALE, UNKNOWN = CommitOutcome
SNAPSHOT_EVERY = "papayabay_core.configuration.log.SNAPSHOT_EVERY"


def deadline_patch(base, deadline_ms):
    return new_patch(base, {"services": {"orders": {"deadline_ms": deadline_ms}}})


class LogCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = await serve_platform(seed=3)
        self.addAsyncCleanup(self.platform.close)
        settings = self.platform.settings()
        self.table = HttpTableService(settings)
        self.objects = HttpObjectStore(settings)
        self.addAsyncCleanup(self.table.close)
        self.addAsyncCleanup(self.objects.close)
        self.log = ConfigurationLog(self.table, self.objects, pauses=(0, 0))

    def fail_with(self, **faults):
        self.platform.stand_in.faults.set(Faults(**faults))

    async def commit_upto(self, version):
        for base in range(await self.log.head(), version):
            result = await self.log.commit(deadline_patch(base, base + 1))
            self.assertEqual(result.outcome, ACCEPTED)

    def deadline_of(self, configuration):
        return configuration.values["services"]["orders"]["deadline_ms"]


class CommitTest(LogCase):
    async def test_versions_grow_by_one(self):
        self.assertEqual(await self.log.head(), 0)
        await self.commit_upto(3)
        loaded = await self.log.load()
        self.assertEqual((loaded.version, loaded.confirmed), (3, True))
        self.assertEqual(loaded.policy().declaration("orders").deadline_ms, 3)
        self.assertEqual(self.deadline_of(await self.log.load(upto=2)), 2)
        found = await self.log.patches_after(1)
        self.assertEqual([patch.version for patch in found], [2, 3])
        self.assertEqual(len(await self.log.patches_after(0, limit=2)), 2)

    async def test_exactly_one_concurrent_commit_is_accepted(self):
        await self.commit_upto(1)
        patches = [deadline_patch(1, 10 + n) for n in range(8)]
        results = await asyncio.gather(*map(self.log.commit, patches))
        winners = [r.patch_id for r in results if r.outcome is ACCEPTED]
        losers = [r for r in results if r.outcome is STALE]
        self.assertEqual((len(winners), len(losers)), (1, 7))
        for loser in losers:
            self.assertEqual(loser.version, 2)
            self.assertEqual([p.patch_id for p in loser.changes], winners)
        self.assertEqual(await self.log.head(), 2)

    async def test_write_depends_on_row_and_head(self):
        await self.commit_upto(1)
        other = deadline_patch(1, 7)
        taken_row = Put(patch_key(2), other.values())
        moved_head = Put("config/head", (await self.table.get("config/head")).value)
        write = self.table.write
        for put, outcome in ((moved_head, UNKNOWN), (taken_row, STALE)):

            async def write_second(puts, put=put):
                await write([put])
                await write(puts)

            with mock.patch.object(self.table, "write", write_second):
                result = await self.log.commit(deadline_patch(1, 5))
            self.assertEqual(result.outcome, outcome)
            self.assertEqual(await self.log.head(), 1)

    async def test_invalid_result_is_refused_before_any_write(self):
        await self.commit_upto(1)
        writes = self.platform.stand_in.counters.writes
        with self.assertRaisesRegex(PolicyError, "services.orders.dedline_ms"):
            await self.log.commit(
                new_patch(1, {"services": {"orders": {"dedline_ms": 1}}})
            )
        with self.assertRaises(PlatformError):
            await self.log.commit(deadline_patch(9, 1))
        self.assertEqual(self.platform.stand_in.counters.writes, writes)


class UnknownOutcomeTest(LogCase):
    async def test_lost_answer_is_settled_by_reading_the_row(self):
        """Guards against a commit that reports failure but was applied.

        The transaction is applied and its answer is lost. Without reading the
        row, the operator would commit again and get a stale result.
        """
        self.fail_with(lost_answer=1.0)
        patch = deadline_patch(0, 5)
        result = await self.log.commit(patch)
        self.assertEqual((result.outcome, result.version), (ACCEPTED, 1))
        again = await self.log.commit(patch)
        self.assertEqual((again.outcome, again.version), (ACCEPTED, 1))
        self.assertEqual(await self.log.head(), 1)

    async def commit_into_outage(self, patch, apply):
        """Commit a patch while the store goes down during its write."""
        write = self.table.write

        async def write_then_down(puts):
            self.fail_with(**({"lost_answer": 1.0} if apply else {"down": "close"}))
            try:
                await write(puts)
            finally:
                self.fail_with(down="unavailable")

        with mock.patch.object(self.table, "write", write_then_down):
            result = await self.log.commit(patch)
        self.assertEqual(result.outcome, UNKNOWN)
        unsettled = await self.log.settle(patch.patch_id, patch.base)
        self.assertEqual(unsettled.outcome, UNKNOWN)
        self.fail_with()

    async def test_applied_before_an_outage(self):
        """Guards against a guess when the outcome can't be determined.

        The transaction is applied, its answer is lost, and the store is down
        when the row is read.
        """
        patch = deadline_patch(0, 5)
        await self.commit_into_outage(patch, apply=True)
        result = await self.log.settle(patch.patch_id, 0)
        self.assertEqual((result.outcome, result.version), (ACCEPTED, 1))

    async def test_not_applied_before_an_outage(self):
        """The same outage, but the connection breaks before the write.

        While the row is missing, a delayed write could still be applied. Only
        the row of another commit settles the outcome.
        """
        patch = deadline_patch(0, 5)
        await self.commit_into_outage(patch, apply=False)
        undecided = await self.log.settle(patch.patch_id, 0)
        self.assertEqual(undecided.outcome, UNKNOWN)
        await self.commit_upto(1)
        result = await self.log.settle(patch.patch_id, 0)
        self.assertEqual((result.outcome, result.version), (STALE, 1))
        self.assertEqual(len(result.changes), 1)

    async def test_committing_an_unknown_patch_again_stores_it_once(self):
        for apply in (True, False):
            base = await self.log.head()
            patch = deadline_patch(base, 5)
            await self.commit_into_outage(patch, apply)
            result = await self.log.commit(patch)
            self.assertEqual((result.outcome, result.version), (ACCEPTED, base + 1))
            self.assertEqual(await self.log.head(), base + 1)

    async def test_stale_reads_never_make_a_stale_result(self):
        """Guards against a stale result for a commit that was applied.

        The answer is lost, and the reads that follow still return the table
        from before the write. A missing row proves nothing.
        """
        await self.commit_upto(1)
        patch = deadline_patch(1, 5)
        write = self.table.write

        async def write_then_stale(puts):
            self.fail_with(lost_answer=1.0, stale_ms=30_000)
            await write(puts)

        with mock.patch.object(self.table, "write", write_then_stale):
            result = await self.log.commit(patch)
        self.assertEqual(result.outcome, UNKNOWN)
        self.fail_with()
        settled = await self.log.settle(patch.patch_id, 1)
        self.assertEqual(settled.outcome, ACCEPTED)


class SnapshotTest(LogCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        patcher = mock.patch(SNAPSHOT_EVERY, 2)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def check_load(self, snapshot_version):
        loaded = await self.log.load()
        self.assertEqual((loaded.version, self.deadline_of(loaded)), (5, 5))
        self.assertEqual(loaded.snapshot_version, snapshot_version)

    async def test_damaged_snapshots_are_skipped(self):
        """Guards against loading a truncated snapshot or failing on it.

        The write of the newest snapshot, later that of the pointer, is
        interrupted. The checksum of the content detects it.
        """
        await self.commit_upto(5)
        await self.check_load(4)
        stored = self.platform.stand_in.objects
        stored[snapshot_name(4)] = stored[snapshot_name(4)][:50]
        await self.check_load(2)
        stored[snapshot_name(2)] = stored[snapshot_name(2)].replace(b": 2}", b": 7}")
        await self.check_load(0)
        stored[POINTER_NAME] = b'{"format": 1, "vers'
        await self.check_load(0)

    async def test_damaged_pointer_is_replaced_by_the_next_commit(self):
        await self.commit_upto(4)
        self.platform.stand_in.objects[POINTER_NAME] = b""
        await self.commit_upto(5)
        await self.check_load(5)

    def stored_snapshots(self):
        names = self.platform.stand_in.objects.keys() - {POINTER_NAME}
        return sorted(names)

    async def test_old_snapshots_are_removed(self):
        """Guards against growth of the object store, once 103 MB a day."""
        await self.commit_upto(20)
        kept = [snapshot_name(version) for version in (14, 16, 18, 20)]
        self.assertEqual(self.stored_snapshots(), kept)

    async def test_failed_removal_of_a_snapshot_is_retried(self):
        """Guards against a snapshot that is left in the store for good.

        The store refuses to remove it but accepts writes; if the pointer no
        longer listed it, no later save would remove it.
        """
        refused = mock.AsyncMock(side_effect=PlatformError("refused"))
        with mock.patch.object(self.objects, "delete", refused):
            await self.commit_upto(12)
        self.assertEqual(len(self.stored_snapshots()), 6)
        loaded = await self.log.load()
        self.assertEqual((loaded.version, loaded.snapshot_version), (12, 12))
        await self.commit_upto(14)
        kept = [snapshot_name(version) for version in (8, 10, 12, 14)]
        self.assertEqual(self.stored_snapshots(), kept)

    async def test_commits_do_not_need_the_object_store(self):
        self.fail_with(kind="object", down="close")
        await self.commit_upto(5)
        await self.check_load(0)

    async def test_snapshot_is_loaded_unconfirmed_while_the_table_is_down(self):
        await self.commit_upto(5)
        self.fail_with(kind="table", down="unavailable")
        loaded = await self.log.load()
        self.assertEqual((loaded.version, loaded.confirmed), (4, False))
        self.fail_with(down="unavailable")
        with self.assertRaises(PlatformError):
            await self.log.load()


class RecordTest(LogCase):
    async def overwrite(self, version, **changes):
        key = patch_key(version)
        row = await self.table.get(key)
        await self.table.write([Put(key, row.value | changes)])

    async def test_newer_format_asks_for_an_upgrade(self):
        """Guards against a daemon that applies a patch of a newer format.

        A newer release writes rows with members that this release does not
        know; ignoring them would apply only a part of the patch.
        """
        await self.commit_upto(2)
        await self.overwrite(2, format=2, scope="riga")
        for read in (self.log.load, lambda: self.log.patches_after(0)):
            with self.assertRaisesRegex(UpgradeNeeded, "format 2.*upgrade"):
                await read()
        head = json.loads('{"format": 3, "epoch": 1}')
        await self.table.write([Put("config/head", head)])
        with self.assertRaises(UpgradeNeeded):
            await self.log.head()

    async def test_gap_and_malformed_rows_are_errors(self):
        await self.commit_upto(3)
        await self.table.write([Put(patch_key(2), None)])
        with self.assertRaisesRegex(CorruptRecord, "version 2 was expected"):
            await self.log.patches_after(0)
        await self.overwrite(3, author=7)
        with self.assertRaisesRegex(CorruptRecord, "author"):
            await self.log.patches_after(2)
