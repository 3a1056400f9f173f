"""The platform's tenants and strict key revocation, on daemon processes."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

import aiohttp

from tests.functional.platform_support import BOUND_SECONDS, CONFIGURATION, Vm
from tests.lib.platform_store import PlatformStore

REVOKE_BOUND_S = 2.0
BOUNDS = f'revokeStrict = true\nrevoke = "{REVOKE_BOUND_S:g}s"'
KEYS = {"pulo780": "maj3nr26tta828m82thh", "zile851": "kmgjqnirth5mgjy5rcpi"}


def configuration(number, *tenants, **limits):
    """Return a version of the configuration with some of the tenants."""
    named = [
        {"name": name, "apiKeys": [KEYS[name]], "priority": 0} | limits
        for name in tenants
    ]
    return CONFIGURATION | {"version": f"r{number}", "tenants": named}


class TenantsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.put("op", "config", configuration(3, *KEYS))
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.logs = [Path(folder) / f"{number}.log" for number in range(2)]
        self.vms = [Vm(number, self.store, folder, BOUNDS) for number in range(2)]
        for vm, path in zip(self.vms, self.logs, strict=True):
            await vm.upstream.start()
            self.addAsyncCleanup(vm.upstream.stop)
            vm.output = self.enterContext(path.open("wb"))
            vm.start()
            self.addCleanup(vm.kill)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.number = 0
        await self.wait_until(KEYS["pulo780"], 200)

    async def send(self, key, *fields, vm=0, path="/read/1"):
        """Return the status of a request; 0 for no answer."""
        self.number += 1
        headers = [
            ("Host", "h.example"),
            ("X-Papayabay-Request-Id", f"{self.number:x}"),
            ("X-Papayabay-Deadline-Ms", "5000"),
            *fields,
        ]
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        url = self.vms[vm].url("outbound") + path
        try:
            async with self.session.get(url, headers=headers) as response:
                self.answer = response.headers, await response.text()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def wait_until(self, key, status, vm=0):
        async with asyncio.timeout(BOUND_SECONDS):
            while await self.send(key, vm=vm) != status:
                await asyncio.sleep(0.05)

    async def test_the_upstream_gets_the_tenant_but_not_the_key(self):
        """Guards against a client that forges another tenant's header."""
        forged = ("x-papayabay-tenant", "zile851")
        self.assertEqual(await self.send(KEYS["pulo780"], forged), 200)
        _, fields = self.vms[1].upstream.executed[-1]
        self.assertEqual(fields["x-papayabay-tenant"], "pulo780")
        self.assertNotIn("authorization", fields)

    async def test_missing_and_unknown_keys_are_refused(self):
        for key in ("", "guessed"):
            self.assertEqual(await self.send(key), 401)
        self.assertEqual(self.answer[0]["WWW-Authenticate"], "Bearer")

    async def test_a_revoked_key_is_refused_everywhere(self):
        await self.store.put("op", "config", configuration(4, "zile851"))
        for vm in range(2):
            await self.wait_until(KEYS["pulo780"], 401, vm)
            self.assertEqual(await self.send(KEYS["zile851"], vm=vm), 200)

    async def test_without_the_store_keys_are_refused_within_the_bound(self):
        """Guards against revoked keys at daemons that can't read the store."""
        self.store.failure_status = 503
        await self.wait_until(KEYS["pulo780"], 503)
        self.assertGreater(float(self.answer[0]["Retry-After"]), 0)
        self.assertEqual(await self.send("guessed"), 503)
        self.store.failure_status = 0
        await self.wait_until(KEYS["pulo780"], 200)

    async def test_a_limit_holds_over_both_daemons(self):
        limits = {"ratePerS": 1, "burst": 10}
        await self.store.put("op", "config", configuration(4, *KEYS, **limits))
        await self.wait_until(KEYS["pulo780"], 429, 0)
        self.assertGreater(float(self.answer[0]["Retry-After"]), 0)
        self.assertEqual(await self.send(KEYS["pulo780"], vm=1), 429)
        await self.wait_until(KEYS["zile851"], 200, 1)

    async def test_no_log_answer_or_metric_contains_a_key(self):
        """Guards against leaked keys, also of an invalid configuration."""
        for key in (*KEYS.values(), "guessed-key-4815162342"):
            await self.send(key)
            await self.send(key, path="/none/1")
        await self.store.put("op", "config", configuration(4))
        invalid = configuration(5, *KEYS)
        invalid["tenants"].append({"name": "x", "apiKeys": [KEYS["pulo780"], 7]})
        await self.store.put("op", "config", invalid)
        written = [self.answer[1], json.dumps(dict(self.answer[0]))]
        url = f"http://{self.vms[0].host}:9464/metrics"
        async with self.session.get(url) as page:
            written.append(await page.text())
        for vm in self.vms:
            vm.kill()
        written += [path.read_text() for path in self.logs]
        for key in (*KEYS.values(), "guessed-key-4815162342"):
            self.assertFalse([text for text in written if key in text])


if __name__ == "__main__":
    unittest.main()
