"""Tests of a store that is restored from a backup."""

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
    """Return a version of the operator's configuration."""
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
        """Write to another table to increase the version of the store."""
        for number in range(count):
            await self.store.put("others", "row", {"number": number})


class ReadingTests(EraCase):
    async def test_configuration_written_after_a_restore_is_read(self):
        """Guards against daemons that keep different configurations for good.

        A daemon has read all changes up to version 10, and the store is
        restored from a backup of version 1. The operator writes a
        configuration, and other writes bring the store beyond version 10
        again. The changes since version 10 don't include the configuration.
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
        self.assertEqual((await versions.changed(1.0)).version, 7)

    async def test_delayed_answer_of_an_earlier_era_is_refused(self):
        await self.store.put(OWN_TABLE, "seeds/a", {"seeds": []})
        await self.store.restore(self.store.copy())
        await self.table.get("seeds/a")
        self.store.era -= 1
        with self.assertRaisesRegex(Exception, "era"):
            await self.table.get("seeds/a")


class WritingTests(EraCase):
    async def test_condition_on_an_earlier_era_fails(self):
        """Guards against overwriting a row that the writer has not read.

        A daemon reads a row, and the store is restored from a backup without
        it. Another daemon writes the row, which gets the same version again,
        so a condition on the version alone would hold.
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

    async def test_row_lost_by_a_restore_is_written_again(self):
        """Guards against a lost quarantine after a restart of all daemons.

        The row of a quarantined request is written, and the store is restored
        from a backup without it. The daemon that wrote the row must write it
        again, or no daemon knows of the quarantine after the restart.
        """
        registry = QuarantineRegistry()
        registry.add_crash(b"end-1", {b"request": 0.0})
        registry.add_crash(b"end-2", {b"request": registry.clock()})
        member = SimpleNamespace(name="d1")
        members = SimpleNamespace(local=member, live=lambda: [member])
        rows = QuarantineRows(registry, self.table, members)
        copy = self.store.copy()
        await rows.write_due()
        self.assertEqual(len(self.store.rows), 1)
        await self.store.restore(copy)
        await self.table.get("any")
        await rows.write_due()
        self.assertEqual(len(self.store.rows), 1)


if __name__ == "__main__":
    unittest.main()
