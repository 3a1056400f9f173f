"""Rows that another writer left in papayabay's table of the store."""

import tempfile

import aiohttp

from tests.functional.platform_support import CONFIGURATION, PlatformTestCase

HUGE = 10**400
HEX = "ab" * 16
ODD_SEEDS = (
    {"written_at": HUGE},
    {"written_at": -HUGE, "seeds": []},
    {"seeds": HUGE},
    {"seeds": [["far", "h" * 300, 1, 2]]},
    {"seeds": [["far", "no such host", 1, 2]]},
    {"seeds": [["far", "127.0.0.1\x00", 1, 2]]},
    {"seeds": [["n" * 100_000, "127.0.0.1", 1, 2]]},
    {"seeds": [["far", "127.0.0.1", HUGE, 2], ["far", "127.0.0.1", 70_000, -1]]},
    {"seeds": [["far", "127.0.0.1", True, 1.5], [[[[]]]], {"a": {}}]},
)
ODD_ENTRIES = (
    {"ends": [HEX], "cleared": [], "since": HUGE},
    {"ends": [HEX], "cleared": [], "since": float("nan")},
    {"ends": HUGE, "cleared": {}, "since": "yesterday"},
    {"ends": [[HEX]], "cleared": [7], "since": -HUGE},
)


class OddRowsTest(PlatformTestCase):
    async def put_rows(self):
        for number, values in enumerate(ODD_SEEDS):
            await self.store.put("papayabay", f"seeds/odd-{number}", values)
        for number, values in enumerate(ODD_ENTRIES):
            await self.store.put("papayabay", f"quarantine/{number:032x}", values)

    async def restart(self, vm, output):
        vm.kill()
        vm.output = output
        vm.start()

        async def is_ready():
            try:
                return await self.ready(vm.number) == 200
            except aiohttp.ClientError:
                return False

        await self.wait_until(is_ready)

    async def test_daemons_that_read_odd_rows_go_on(self):
        """Guards against a daemon that ends again and again at a row."""
        own_row = {"written_at": HUGE, "seeds": [["vm-9", "h" * 300, 1, 2]]}
        with tempfile.TemporaryFile("w+") as output:
            await self.put_rows()
            for vm in self.vms:
                await self.store.put("papayabay", f"seeds/zone-{vm.number}", own_row)
                await self.restart(vm, output)
            changed = CONFIGURATION | {"version": "r8", "routes": []}
            await self.store.put("op", "config", changed)

            async def route_removed():
                answers = [await self.send("/read/1", vm) for vm in range(2)]
                return [status for status, _, _ in answers] == [404, 404]

            await self.wait_until(route_removed)
            self.assertEqual([vm.process.poll() for vm in self.vms], [None, None])
            output.seek(0)
            failed = [line for line in output if "papayabay.supervisor" in line]
        self.assertEqual(failed, [])
