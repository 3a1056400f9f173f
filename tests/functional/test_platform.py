"""Daemon processes with the platform's adapter, against stand-ins."""

import asyncio
import signal

import aiohttp

from tests.functional.platform_support import (
    BOUND_SECONDS,
    CONFIGURATION,
    PlatformTestCase,
)

LATE_REQUESTS = 20
DEADLINE_S = 5.0
"""Of the requests of `PlatformTestCase.send`."""


class PlatformTest(PlatformTestCase):
    async def test_a_request_is_forwarded_by_two_daemons_unchanged(self):
        status, fields, body = await self.send("/read/1?x=%20y")
        self.assertEqual((status, body), (200, "i-1 ran /read/1?x=%20y"))
        self.assertEqual(fields["X-Papayabay-Upstream-Signature"], "signed-i-1")
        self.assertEqual(fields["X-Papayabay-Request-Id"], f"{self.number:x}")
        _, received = self.vms[1].upstream.executed[-1]
        self.assertEqual(received["x-papayabay-caller-service"], "svc-0")
        self.assertLessEqual(int(received["x-papayabay-deadline-ms"]), 5_000)
        self.assertEqual(received["host"], "h.example")
        self.assertEqual(await self.ready(0), 200)
        self.assertEqual((await self.send("/else/1"))[0], 404)

    async def test_a_new_version_applies_on_all_daemons_while_the_store_is_down(self):
        changed = CONFIGURATION | {"version": "r8", "routes": []}
        await self.store.put("op", "config", changed)

        async def route_removed():
            answers = [await self.send("/read/1", vm) for vm in range(2)]
            return [status for status, _, _ in answers] == [404, 404]

        await self.wait_until(route_removed)
        self.store.failure_status = 503
        self.assertTrue(await route_removed())

    async def test_daemons_recover_from_a_store_restored_from_an_older_copy(self):
        """Daemons write lost rows again, and read what is written later.

        The store loses all of papayabay's rows, and reaches its former version
        number again before any daemon reads it.
        """

        async def seeds_stored():
            keys = {key for table, key in self.store.rows if table == "papayabay"}
            return keys >= {"seeds/zone-0", "seeds/zone-1"}

        await self.wait_until(seeds_stored)
        rows, version = self.store.copy()
        rows = {name: row for name, row in rows.items() if name[0] != "papayabay"}
        for _ in range(5):
            await self.store.put("others", "row", {})
        await self.store.restore((rows, version))
        changed = CONFIGURATION | {"version": "r8", "routes": []}
        await self.store.put("op", "config", changed)
        for _ in range(9):
            await self.store.put("others", "row", {})

        async def route_removed():
            answers = [await self.send("/read/1", vm) for vm in range(2)]
            return [status for status, _, _ in answers] == [404, 404]

        await self.wait_until(route_removed)
        await self.wait_until(seeds_stored)

    async def test_a_draining_upstream_gets_no_new_requests(self):
        """Guards against requests after the drain was acknowledged."""
        upstream = self.vms[1].upstream
        upstream.state = "draining"
        await asyncio.wait_for(upstream.drain_acknowledged.wait(), BOUND_SECONDS)
        served = len(upstream.executed)
        status, fields, _ = await self.send("/read/1")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", fields)
        self.assertEqual(len(upstream.executed), served)

    async def test_sigterm_does_not_abort_requests_in_flight(self):
        """A request in flight was lost when its daemons were stopped.

        The daemons of the caller and of the upstream get SIGTERM while the
        upstream runs the request, and the upstream answers after that.
        """
        upstream = self.vms[1].upstream
        upstream.may_answer.clear()
        running = len(upstream.executed)
        request = asyncio.create_task(self.send("/read/slow"))

        async def started():
            return len(upstream.executed) > running

        await self.wait_until(started)
        for vm in self.vms:
            vm.process.send_signal(signal.SIGTERM)

        async def not_ready():
            return await self.ready(0) == 503

        await self.wait_until(not_ready)
        upstream.may_answer.set()
        status, _, body = await request
        self.assertEqual((status, body), (200, "i-1 ran /read/slow"))
        for vm in self.vms:
            exit_code = await asyncio.to_thread(vm.process.wait, BOUND_SECONDS)
            self.assertEqual(exit_code, 0)

    async def test_a_restarted_daemon_serves_before_the_next_heartbeat(self):
        """A target got no requests after its daemon was killed and restarted.

        The upstream ran on, but the daemon did not use it before its next
        heartbeat, which could be late.
        """
        self.vms[1].upstream.may_send_heartbeats.clear()
        self.vms[1].kill()
        self.vms[1].start()
        await self.wait_until(self.serves)

    async def test_a_late_heartbeat_does_not_revive_an_upstream_that_left(self):
        """Guards against requests to an upstream that left before a restart.

        Its daemon is killed after it has acknowledged the deregistration. A
        heartbeat from before it arrives at the restarted daemon.
        """
        vm = self.vms[1]
        late = vm.upstream.heartbeat()
        self.assertEqual(await vm.upstream.deregister(self.session), 200)
        vm.kill()
        vm.start()

        async def is_ready():
            try:
                return await self.ready(1) == 200
            except aiohttp.ClientError:
                return False

        await self.wait_until(is_ready)
        served = len(vm.upstream.executed)
        self.assertEqual(await vm.upstream.send_heartbeat(self.session, late), 200)
        for _ in range(LATE_REQUESTS):
            self.assertEqual((await self.send("/read/1"))[0], 503)
            await asyncio.sleep(0.05)
        self.assertEqual(len(vm.upstream.executed), served)

    async def test_a_rejected_request_is_reported_as_not_run(self):
        upstream = self.vms[1].upstream
        upstream.executed.clear()
        upstream.faults = ["reject"]
        status, fields, _ = await self.send("/write/order")
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["Retry-After"]), 0)
        self.assertEqual(upstream.executed, [])

    async def test_a_lost_answer_is_not_reported_as_not_run(self):
        """A caller placed an order twice.

        The upstream ran the order, and its answer was lost or unreadable. The
        daemon took the broken connection for a refusal and answered that the
        order was not run, so the caller sent it again.
        """
        upstream = self.vms[1].upstream
        for fault in ("drop", "garble", "truncate"):
            with self.subTest(fault=fault):
                upstream.executed.clear()
                upstream.faults = [fault]
                status, _, _ = await self.send("/write/order")
                self.assertIn(status, {0, 502, 504})
                self.assertEqual(len(upstream.executed), 1)

    async def test_answer_without_a_status_fails_the_request_at_once(self):
        """Guards against a request that waits for its whole deadline.

        Both ways lead to the upstream: through its own daemon and by a link.
        """
        upstream = self.vms[1].upstream
        for vm in range(2):
            with self.subTest(vm=vm):
                upstream.faults = ["no status"]
                started = asyncio.get_running_loop().time()
                status, fields, _ = await self.send("/write/order", vm)
                took = asyncio.get_running_loop().time() - started
                self.assertEqual(status, 502)
                self.assertNotIn("X-Papayabay-Upstream-Signature", fields)
                self.assertLess(took, DEADLINE_S / 2)

    async def test_an_extra_answer_is_not_used_for_another_request(self):
        upstream = self.vms[1].upstream
        upstream.faults = ["extra"]
        for number in range(4):
            status, _, body = await self.send(f"/read/{number}")
            self.assertEqual(status, 200)
            self.assertEqual(body, f"i-1 ran /read/{number}")
