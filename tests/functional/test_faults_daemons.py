"""Faults of whole processes, with real daemons, sockets and targets."""

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
BOUND = 20.0
WORK_MS = 150.0
CALLERS = 12
LIFE_OVER_SECONDS = 2.0
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
        self.numbers = iter(range(1_000_000))

    async def call(self, entry, method="GET", path="/browse", key=""):
        """Return name, status, error kind and effect of one call."""
        name = f"r{next(self.numbers)}"
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
        """Call again and again from some callers until cancelled."""
        found = []

        async def caller(number):
            while not self.stopped.is_set():
                key = f"k{number}-{len(found)}" if method == "POST" else ""
                path = "/orders" if method == "POST" else "/browse"
                found.append(await self.call(entry, method, path, key))

        await asyncio.gather(*map(caller, range(count)))
        return found

    def start_load(self, entry, method="GET"):
        self.stopped = asyncio.Event()
        return asyncio.create_task(self.load(entry, method))

    async def wait_busy(self, target):
        """Wait until a target works on something."""

        async def busy():
            states = {one["name"]: one for one in await self.fleet.targets()}
            return states[target]["busy"] > 0

        await wait_until(busy, BOUND, f"{target} busy")

    async def mint(self, entry):
        url = self.fleet.caller_url(entry) + "/.papayabay/keys"
        async with self.fleet.session.post(url) as answer:
            return (await answer.json())["key"]

    async def records(self):
        """Return the targets' records once all work is written out."""

        async def idle():
            return all(one["inside"] == 0 for one in await self.fleet.targets())

        await wait_until(idle, BOUND, "targets idle")
        await asyncio.gather(*(host.stop(BOUND) for host in self.fleet.hosts.values()))
        return read_records(self.fleet.record_paths())

    async def test_sigterm_under_load_cuts_no_request(self):
        """A graceful shutdown must not end calls that are under way.

        Symptom: calls fail when a VM is replaced. Sequence: callers keep
        the target busy; its daemon gets SIGTERM; further calls come. Cause:
        links or target connections closed before the work was answered.
        """
        load = self.start_load("entry-0", "POST")
        await self.wait_busy(f"{SERVICE}-0")
        code = await self.fleet.drain(f"{SERVICE}-0", BOUND)
        self.stopped.set()
        found = await load
        self.assertEqual(code, 0)
        self.assertEqual({status for _, status, _, _ in found}, {200})

    async def test_sigkill_loses_only_calls_in_flight_on_it(self):
        """A daemon that dies hard takes only its own calls along.

        Symptom: calls at healthy upstreams fail, or a lost one is called
        `not-run`. Sequence: both upstreams work on confirmations; the daemon
        of one is killed. Cause: one link's end taken for another's, or a
        call that was handed over taken for unsent.
        """
        load = self.start_load("entry-0", "POST")
        await self.wait_busy(f"{SERVICE}-0")
        self.fleet.kill(f"{SERVICE}-0")
        await self.fleet.daemons[f"{SERVICE}-0"].wait(BOUND)
        self.stopped.set()
        found = await load
        failed = [one for one in found if one[1] != 200]
        self.assertLessEqual({kind for _, _, kind, _ in failed}, IN_FLIGHT_KINDS)
        self.assertEqual({effect for *_, effect in failed} - {"unknown"}, set())
        records = await self.records()
        at_dead = {
            one.request for one in records.executions if one.target == f"{SERVICE}-0"
        }
        self.assertLessEqual({name for name, *_ in failed}, at_dead)

    async def test_leaving_target_gets_no_new_work_without_gossip(self):
        """A target's leaving must not depend on gossip getting through.

        Symptom: a withdrawn target still gets calls. Sequence: an entry is
        paused while the target withdraws, so it hears no gossip of that; it
        resumes and calls at once by its old view. Cause: only gossip stops
        callers, and the callee's daemon lets strangers' calls through.
        """
        leaving = f"{SERVICE}-0"
        self.fleet.pause("entry-0")
        await self.fleet.control(leaving, draining=True)
        self.fleet.resume("entry-0")
        await asyncio.gather(*(self.call("entry-0") for _ in range(CALLERS)))
        records = await self.records()
        targets = {one.target for one in records.executions if one.request}
        self.assertEqual(targets, {f"{SERVICE}-1"})

    async def test_holder_paused_past_its_life_runs_nothing(self):
        """A claim's holder resumes and believes that it still holds it.

        Symptom: an order is run long after its caller was told the end.
        Sequence: the store is slow; the entry asks for claims and is paused;
        the store grants them; the calls' lives end; the entry resumes and
        reads that it holds the claims. Cause: time in a pause not counted.
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

        await wait_until(entered, BOUND, "all calls entered")
        self.fleet.pause("entry-0")
        ended, pending = await asyncio.wait(calls, timeout=LIFE_OVER_SECONDS)
        self.assertEqual(len(pending), CALLERS)
        self.fleet.resume("entry-0")
        answers = await asyncio.gather(*calls)
        self.assertNotIn(200, {status for _, status, _, _ in answers})
        records = await self.records()
        names = {name for name, *_ in answers}
        self.assertEqual([e for e in records.effects if e.request in names], [])

    async def test_store_outage_stops_claims_only(self):
        """Orders go on in a store outage where no claim is needed.

        Symptom: all confirmations fail while the store is down, or a claim
        that nobody holds is run. Sequence: keys are minted, the store goes
        down, calls come with minted and with own keys. Cause: home-bound
        keys that use the store, or claims that fail open.
        """
        for down in ("close", "silent"):
            with self.subTest(down=down):
                await self.fleet.platform_faults(down=down)
                key = await self.mint(f"{SERVICE}-0")
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
        """Open links go silent for good while new ones work.

        Symptom: a daemon can't reach a healthy one again, and calls hang
        until their lives end. Sequence: something between the two ends
        loses track of the connections; neither end is told. Cause: an open
        connection taken for a working one.
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

            await wait_until(answered, BOUND, "a call over a new link")


if __name__ == "__main__":
    unittest.main()
