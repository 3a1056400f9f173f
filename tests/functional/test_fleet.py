"""A chain of three services on a fleet of daemon processes."""

import asyncio
import unittest

from papayabay_bench.demo import chain
from papayabay_bench.fleet import Fleet
from papayabay_bench.targets.answers import is_own_answer
from papayabay_bench.targets.records import read_records

CALLS = 200
TIMEOUT_S = 20.0


class FleetTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(Fleet(chain.fleet_plan(seed=5)))
        await self.fleet.wait_members()
        await self.fleet.wait_version(await self.fleet.apply(chain.policy()))
        await self.fleet.wait_services()

    async def call(self, entry, method, path, nonce, key=""):
        headers = {
            "Papayabay-Service": "orders-svc",
            "Bench-Nonce": nonce,
            "Bench-Request": nonce,
        }
        if key:
            headers["Idempotency-Key"] = key
        url = self.fleet.caller_url(entry) + path
        session = self.fleet.session
        async with session.request(method, url, headers=headers) as answer:
            return answer.status, await answer.read()

    async def test_concurrent_calls_get_their_own_complete_answers(self):
        entries = list(self.fleet.daemons)
        limit = asyncio.Semaphore(8)

        async def one(number):
            entry = entries[number % len(entries)]
            async with limit:
                return await self.call(entry, "GET", f"/quarry/{number}", f"n{number}")

        answers = await asyncio.gather(*map(one, range(CALLS)))
        for number, (status, body) in enumerate(answers):
            self.assertEqual(status, 200, body)
            self.assertTrue(is_own_answer(body, f"n{number}"))

    async def test_calls_with_the_same_key_take_effect_once(self):
        answers = [
            await self.call(entry, "POST", "/confirm/1", "n", key="k-1")
            for entry in self.fleet.daemons
        ]
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertEqual(len({body for _, body in answers}), 1)
        effects = read_records(self.fleet.record_paths()).effects
        self.assertEqual([effect.key for effect in effects], ["k-1"])

    async def test_draining_a_daemon_aborts_no_call(self):
        calls = [
            asyncio.create_task(
                self.call("orders-svc-1", "GET", f"/quarry/{n}", str(n))
            )
            for n in range(10)
        ]
        await self.fleet.wait_routes("orders-svc-1", TIMEOUT_S)
        code = await self.fleet.drain("orders-svc-0", TIMEOUT_S)
        statuses = {status for status, _ in await asyncio.gather(*calls)}
        self.assertEqual(code, 0)
        self.assertEqual(statuses, {200})


if __name__ == "__main__":
    unittest.main()
