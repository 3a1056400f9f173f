"""Faults of whole daemons, of their links and of the store."""

import asyncio
import unittest

from papayabay_bench.fleet import Fleet, FleetPlan, ServicePlan
from papayabay_bench.fleet.waiting import wait_until
from papayabay_bench.history.system import TIMING
from papayabay_bench.load.client import kind_of
from papayabay_bench.targets.answers import is_own_answer
from papayabay_bench.targets.records import read_records
from papayabay_bench.targets.specification import CallPath, ServiceTime

SERVICE = "orders-svc"
TIMEOUT_S = 20.0
WORK_MS = 150.0
CALLERS = 12
PAUSE_S = 2.0
"""Longer than the lifetime of a call."""
SLOW_STORE_MS = 500
IN_FLIGHT_KINDS = {"link-lost", "target-lost", "outcome-unknown"}
NOT_RUN = "not-run"
POLICY = {
    "services": {
        SERVICE: {
            "deadline_ms": 1_000,
            "calls": {
                "confirm": {
                    "methods": ["POST"],
                    "path": "/orders*",
                    "importance": "critical",
                },
                "browse": {"methods": ["GET"], "path": "/*"},
            },
        }
    }
}


def fleet_plan():
    work = ServiceTime(distribution="fixed", mean_ms=WORK_MS)
    paths = [
        CallPath(prefix="/orders", effect=True, work=work),
        CallPath(prefix="/browse", work=work),
    ]
    service = ServicePlan(name=SERVICE, paths=paths, upstreams=2, slots=20)
    return FleetPlan(services=[service], entries=1, timing=TIMING)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(Fleet(fleet_plan()))
        await self.fleet.wait_members()
        await self.fleet.wait_version(await self.fleet.apply(POLICY))
        await self.fleet.wait_services()
        self.request_numbers = iter(range(1_000_000))

    async def call(self, entry, method="GET", path="/browse", key=""):
        """Send a request; return its name, status, error kind and effect."""
        name = f"r{next(self.request_numbers)}"
        headers = {
            "Papayabay-Service": SERVICE,
            "Bench-Nonce": name,
            "Bench-Request": name,
        }
        if key:
            headers["Idempotency-Key"] = key
        url = self.fleet.caller_url(entry) + path
        async with self.fleet.session.request(method, url, headers=headers) as answer:
            content = await answer.read()
        if answer.status == 200 and not key:
            self.assertTrue(is_own_answer(content, name))
        kind = kind_of(answer, content) if answer.status >= 400 else ""
        return name, answer.status, kind, answer.headers.get("Papayabay-Effect")

    async def load(self, entry, method="GET", count=CALLERS):
        """Send requests from several callers until stopped."""
        results = []

        async def caller(number):
            while not self.stopped.is_set():
                key = f"k{number}-{len(results)}" if method == "POST" else ""
                path = "/orders" if method == "POST" else "/browse"
                results.append(await self.call(entry, method, path, key))

        await asyncio.gather(*map(caller, range(count)))
        return results

    def start_load(self, entry, method="GET"):
        self.stopped = asyncio.Event()
        return asyncio.create_task(self.load(entry, method))

    async def wait_busy(self, target):
        """Wait until a target runs a request."""

        async def busy():
            states = {one["name"]: one for one in await self.fleet.targets()}
            return states[target]["busy"] > 0

        await wait_until(busy, TIMEOUT_S, f"{target} busy")

    async def create_key(self, entry):
        """Return an idempotency key that a daemon has issued."""
        url = self.fleet.caller_url(entry) + "/.papayabay/keys"
        async with self.fleet.session.post(url) as answer:
            return (await answer.json())["key"]

    async def records(self):
        """Stop the targets once they are idle, and return their records."""

        async def idle():
            return all(one["inside"] == 0 for one in await self.fleet.targets())

        await wait_until(idle, TIMEOUT_S, "targets idle")
        await asyncio.gather(
            *(host.stop(TIMEOUT_S) for host in self.fleet.hosts.values())
        )
        return read_records(self.fleet.record_paths())

    async def test_sigterm_under_load_aborts_no_call(self):
        """Guards against calls that fail when a VM is replaced.

        The target's daemon gets SIGTERM under load, and must not close links
        or target connections before the calls in flight are answered.
        """
        load = self.start_load("entry-0", "POST")
        await self.wait_busy(f"{SERVICE}-0")
        code = await self.fleet.drain(f"{SERVICE}-0", TIMEOUT_S)
        self.stopped.set()
        results = await load
        self.assertEqual(code, 0)
        self.assertEqual({status for _, status, _, _ in results}, {200})

    async def reach_all_targets(self):
        """Send so many calls at once that each target answers some.

        Until its first answer a target gets three calls at a time, and its
        daemon holds the others: if it is killed, they fail without a run.
        """
        await asyncio.gather(*(self.call("entry-0") for _ in range(CALLERS)))

    async def test_sigkill_loses_only_calls_in_flight_on_the_daemon(self):
        """Guards against a killed daemon that fails calls on other daemons.

        Both upstreams run confirmations, and the daemon of one is killed. If
        the lost link is mistaken for another, calls on the healthy upstream
        fail; if a forwarded call is taken for unsent, it is reported as
        `not-run`.
        """
        await self.reach_all_targets()
        load = self.start_load("entry-0", "POST")
        await self.wait_busy(f"{SERVICE}-0")
        self.fleet.kill(f"{SERVICE}-0")
        await self.fleet.daemons[f"{SERVICE}-0"].wait(TIMEOUT_S)
        self.stopped.set()
        results = await load
        failed = [one for one in results if one[1] != 200]
        self.assertLessEqual({kind for _, _, kind, _ in failed}, IN_FLIGHT_KINDS)
        self.assertEqual({effect for *_, effect in failed} - {"unknown"}, set())
        records = await self.records()
        on_killed = {
            one.request for one in records.executions if one.target == f"{SERVICE}-0"
        }
        self.assertLessEqual({name for name, *_ in failed}, on_killed)

    async def test_leaving_target_gets_no_new_calls_without_gossip(self):
        """Guards against calls to a target that has withdrawn.

        A caller's daemon is paused while the target withdraws, so it gets no
        gossip of that and still calls the target after it has resumed. The
        target's own daemon must refuse these calls.
        """
        leaving = f"{SERVICE}-0"
        self.fleet.pause("entry-0")
        await self.fleet.control(leaving, draining=True)
        self.fleet.resume("entry-0")
        await asyncio.gather(*(self.call("entry-0") for _ in range(CALLERS)))
        records = await self.records()
        targets = {one.target for one in records.executions if one.request}
        self.assertEqual(targets, {f"{SERVICE}-1"})

    async def test_owner_paused_past_the_deadline_runs_no_call(self):
        """Guards against orders that run long after their deadline.

        The store is slow, and a daemon is paused after it has requested
        claims. The store grants them, the calls' lifetimes end, and the daemon
        resumes and reads that it owns the claims. The time in the pause must
        count against the lifetime.
        """
        await self.fleet.platform_faults(slow_ms=SLOW_STORE_MS)
        status = await self.fleet.status("entry-0")
        before = status["counters"]["calls.entered"]
        calls = [
            asyncio.create_task(self.call("entry-0", "POST", "/orders", f"p{n}"))
            for n in range(CALLERS)
        ]

        async def entered():
            counters = (await self.fleet.status("entry-0"))["counters"]
            return counters["calls.entered"] >= before + CALLERS

        await wait_until(entered, TIMEOUT_S, "all calls entered")
        self.fleet.pause("entry-0")
        done, pending = await asyncio.wait(calls, timeout=PAUSE_S)
        self.assertEqual(len(pending), CALLERS)
        self.fleet.resume("entry-0")
        answers = await asyncio.gather(*calls)
        self.assertNotIn(200, {status for _, status, _, _ in answers})
        records = await self.records()
        names = {name for name, *_ in answers}
        self.assertEqual([e for e in records.effects if e.request in names], [])

    async def test_store_outage_fails_only_calls_that_need_claims(self):
        """Guards against a store outage that fails calls which need no claim.

        Calls with keys issued by a daemon need no store and must succeed while
        it is down; calls with the client's own keys need a claim in the store
        and must not run without it.
        """
        for down in ("close", "silent"):
            with self.subTest(down=down):
                await self.fleet.platform_faults(down=down)
                key = await self.create_key(f"{SERVICE}-0")
                for entry in self.fleet.daemons:
                    answer = await self.call(entry, "POST", "/orders", key)
                    self.assertEqual(answer[1], 200, answer)
                name, _, kind, effect = await self.call(
                    "entry-0", "POST", "/orders", f"own-{down}"
                )
                self.assertIn(kind, {"store-unavailable", "expired-unsent"})
                self.assertEqual(effect, NOT_RUN)
                await self.fleet.platform_faults()
        records = await self.records()
        self.assertEqual(len(records.effects), 2)
        self.assertNotIn("own-", "".join(one.key for one in records.effects))


class SilentLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_links_are_replaced(self):
        """Guards against open links that carry no data any more.

        A middlebox loses the state of the connections without notice to either
        end, while new connections work. If a daemon takes an open connection
        for a working one, it never reaches the peer again, and calls hang
        until their lifetimes end.
        """
        import signal

        from papayabay_bench.history import system
        from papayabay_bench.history.run import prepare_fleet

        async with Fleet(system.fleet_plan(1)) as fleet:
            await prepare_fleet(fleet)
            fleet.kill("entry-0", signal.SIGUSR1)
            url = fleet.caller_url("entry-0") + system.BROWSE_PATH
            headers = {"Papayabay-Service": system.FRONT, "Bench-Nonce": "n"}

            async def answered():
                async with fleet.session.get(url, headers=headers) as answer:
                    body = await answer.read()
                if answer.status != 200:
                    self.assertNotEqual(kind_of(answer, body), "")
                return answer.status == 200 and is_own_answer(body, "n")

            await wait_until(answered, TIMEOUT_S, "a call over a new link")


if __name__ == "__main__":
    unittest.main()
