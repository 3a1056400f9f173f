"""The store comes back from an older copy."""

import unittest
from types import SimpleNamespace

from papayabay_core.exceptions import ConditionFailed
from papayabay_core.platform import Put
from papayabay_daemon._internal.quarantine import QuarantineRegistry, QuarantineRows
from papayabay_platform.configuration import OperatorVersions
from papayabay_platform.store import OWN_TABLE, StoreClient, StoreTable
from tests.lib.cluster_fakes import make_settings
from tests.lib.platform_store import PlatformStore
from tests.unit.platform.test_operator_versions import ORDER, ROUTE


def configuration(version):
    """Return a version as the operator writes it."""
    services = [{"name": "svc-a"}, {"name": "svc-b"}]
    return {"version": version, "routes": [ROUTE, ORDER], "services": services}


class EraCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStore()
        self.store.era = 1
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        url = f"http://127.0.0.1:{self.store.port}"
        settings = make_settings("d1").platform
        self.client = StoreClient(settings.model_copy(update={"table_url": url}))
        self.addAsyncCleanup(self.client.close)
        self.table = StoreTable(self.client)

    async def write_others(self, count):
        """Let others write, so that the store's version grows."""
        for number in range(count):
            await self.store.put("others", "row", {"number": number})


class ReadingTests(EraCase):
    async def test_what_was_written_between_is_heard(self):
        """Daemons kept to different configurations for good.

        Sequence: a reader has seen all up to version 10; the store comes back
        from a copy of version 1; the operator writes a configuration, and
        others write until the store is past 10 again. Cause: changes after 10
        leave that configuration out, and nothing says so.
        """
        versions = OperatorVersions(self.client, {"ratio": 0.1}, {})
        await self.store.put("op", "config", configuration("r5"))
        copy = self.store.copy()
        await self.write_others(9)
        self.assertEqual((await versions.load()).version, 5)
        await self.store.restore(copy)
        await self.store.put("op", "config", configuration("r7"))
        await self.write_others(10)
        await self.store.put("op", "other", {})
        self.assertEqual((await versions.changed()).version, 7)

    async def test_an_answer_that_comes_late_from_before_is_no_answer(self):
        await self.store.put(OWN_TABLE, "seeds/a", {"seeds": []})
        await self.store.restore(self.store.copy())
        await self.table.get("seeds/a")
        self.store.era -= 1
        with self.assertRaisesRegex(Exception, "era"):
            await self.table.get("seeds/a")


class WritingTests(EraCase):
    async def test_a_condition_holds_within_its_era_only(self):
        """A row was overwritten that nobody had read.

        Sequence: a daemon reads a row; the store comes back from a copy
        without it; another daemon writes it, and it gets the same version
        again. Cause: the version alone was the condition.
        """
        copy = self.store.copy()
        await self.store.put(OWN_TABLE, "seeds/a", {"by": "first"})
        row = await self.table.get("seeds/a")
        await self.store.restore(copy)
        await self.store.put(OWN_TABLE, "seeds/a", {"by": "second"})
        await self.table.scan("seeds/")
        with self.assertRaises(ConditionFailed):
            await self.table.write([Put("seeds/a", {"by": "third"}, row.revision)])
        found = await self.table.get("seeds/a")
        self.assertEqual(found.value, {"by": "second"})
        self.assertGreater(found.revision, row.revision)
        await self.table.write([Put("seeds/a", {"by": "third"}, found.revision)])

    async def test_a_row_that_was_lost_is_written_again(self):
        """A request that was held back ended targets after a restart of all.

        Sequence: its row is written; the store comes back from a copy without
        it; all daemons start anew. Cause: who wrote the row took it for kept.
        """
        book = QuarantineRegistry()
        book.add_crash(b"end-1", {b"request": 0.0})
        book.add_crash(b"end-2", {b"request": book.clock()})
        member = SimpleNamespace(name="d1")
        members = SimpleNamespace(local=member, live=lambda: [member])
        rows = QuarantineRows(book, self.table, members)
        copy = self.store.copy()
        await rows.write_due()
        self.assertEqual(len(self.store.rows), 1)
        await self.store.restore(copy)
        await self.table.get("any")
        await rows.write_due()
        self.assertEqual(len(self.store.rows), 1)


if __name__ == "__main__":
    unittest.main()
