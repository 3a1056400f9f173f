"""Client accounts on a fleet of daemon processes, and their reports."""

import asyncio
from pathlib import Path

from papayabay_bench.fleet import Fleet, FleetPlan, ServicePlan
from papayabay_bench.history.system import TIMING
from papayabay_bench.load.client import kind_of
from papayabay_bench.targets.specification import CallPath
from papayabay_core.account_keys import digest_key
from tests.functional.cli_support import CliCase

SERVICE = "orders-svc"
KEYS = {"shop": "key-of-the-shop-48151623", "kiosk": "key-of-the-kiosk-16234815"}
BOUND_S = 20.0


def policy_of(*accounts, **limits):
    """Return a policy with some of the accounts, each with the same limits."""
    return {
        "services": {
            SERVICE: {
                "calls": {
                    "open": {"methods": ["GET"], "path": "/open", "public": True},
                    "all": {"methods": ["GET"], "path": "/*"},
                }
            }
        },
        "accounts": {
            name: {"key_digests": [digest_key(KEYS[name])]} | limits
            for name in accounts
        },
    }


class AccountsTest(CliCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        paths = [CallPath(prefix="/")]
        service = ServicePlan(name=SERVICE, paths=paths, upstreams=2, slots=20)
        plan = FleetPlan(services=[service], entries=1, seed=5, timing=TIMING)
        self.fleet = await self.enterAsyncContext(Fleet(plan))
        await self.fleet.wait_members()
        self.version = 0
        await self.apply_patch(policy_of())
        await self.fleet.wait_services()
        await self.apply_patch(policy_of("shop", "kiosk"))
        self.request_numbers = iter(range(1_000_000))

    async def apply_patch(self, changes):
        """Commit a merge patch and wait until it is in force."""
        self.version = await self.fleet.apply(changes, self.version)
        await self.fleet.wait_version(self.version)

    async def call(self, key, path="/read", entry=-1):
        """Send a request; return its status and error kind."""
        name = f"r{next(self.request_numbers)}"
        headers = {
            "Papayabay-Service": SERVICE,
            "Bench-Nonce": name,
            "Bench-Request": name,
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = self.fleet.caller_url(list(self.fleet.daemons)[entry]) + path
        async with self.fleet.session.get(url, headers=headers) as answer:
            content = await answer.read()
        self.last_content = content
        return answer.status, kind_of(answer, content) if answer.status >= 400 else ""

    async def wait_for_result(self, key, expected):
        async with asyncio.timeout(BOUND_S):
            while await self.call(key) != expected:
                await asyncio.sleep(0.05)

    async def test_keys_are_checked_revoked_and_never_shown(self):
        """Guards against a key in a log, an answer, a status or a report."""
        self.assertEqual((await self.call(KEYS["shop"]))[0], 200)
        self.assertEqual((await self.call("", "/open"))[0], 200)
        for key in ("", "guessed"):
            self.assertEqual(await self.call(key), (401, "unauthenticated"))
        await self.apply_patch({"accounts": {"kiosk": None}})
        self.assertEqual(await self.call(KEYS["kiosk"]), (401, "unauthenticated"))
        outputs = [self.last_content]
        names = list(self.fleet.daemons)
        self.write_settings(
            [self.fleet.listener_url(name, "status_port") for name in names]
        )
        listed = await self.run_cli("accounts", "list", "--json")
        page = listed.values
        self.assertEqual(list(page["accounts"]), ["shop"])
        self.assertEqual(page["accounts"]["shop"]["allowed"], 1)
        self.assertEqual(page["keys"]["unknown"], 2)
        table = await self.run_cli("accounts", "list")
        self.assertIn("requests without a key: 1", table.out)
        shown = await self.run_cli("status", "--json")
        outputs += [one.out.encode() for one in (listed, table, shown)]
        outputs += [path.read_bytes() for path in self.output_files()]
        for key in KEYS.values():
            self.assertFalse([text for text in outputs if key.encode() in text])

    async def test_a_limit_is_shared_by_all_daemons(self):
        """Guards against daemons that each grant the whole limit."""
        await self.apply_patch(policy_of("shop", rate_per_s=2.0, burst=16))
        await self.wait_for_result(KEYS["shop"], (200, ""))
        entries = len(self.fleet.daemons)
        calls = [self.call(KEYS["shop"], entry=turn % entries) for turn in range(60)]
        kinds = [kind for _, kind in await asyncio.gather(*calls)]
        self.assertIn("rate-limited", kinds)
        self.assertLessEqual(kinds.count(""), 16 + 2 * BOUND_S)
        self.assertLessEqual(kinds.count(""), 59)

    def output_files(self):
        """Return the files that the fleet's processes have written."""
        folder = Path(self.fleet.directory)
        return [path for path in folder.rglob("*") if path.is_file()]
