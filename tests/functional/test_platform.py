"""Daemon processes with the platform's adapter, against stand-ins."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from tests.lib.platform_store import PlatformStore
from tests.lib.platform_upstream import Upstream

COMMAND = [sys.executable, "-P", "-m", "papayabay_platform"]
BOUND_SECONDS = 30.0
NETWORK = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
HOSTS = (f"{NETWORK}.2", f"{NETWORK}.3")
"""Addresses that only this test run uses: the metrics port is fixed, so two
runs on one machine would otherwise collide on it."""
PORTS = ("outbound", "ready", "control", "app", "internal")
BOOT = """
[self]
nodeId = "vm-{number}"
ip = "{host}"
zone = "zone-{number}"
region = "r"
appAddr = "{host}:{app}"
service = "{service}"
[network]
internalPorts = [{internal},{last}]
[network.listenAddrs]
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[platform]
heartbeat = "100ms"
[platform.platform]
address = "127.0.0.1:{store}"
[terms.bounds]
grace = "3s"
retryBudgetRatio = 0.2
retryWindow = "10s"
retryBudgetMin = 47
{bounds}
"""
CONFIGURATION = {
    "version": "r3",
    "routes": [
        {
            "name": "read",
            "host": "h.example",
            "prefix": "/read/",
            "kind": "safe",
            "timeout": "5s",
            "priority": 1,
            "service": "svc-1",
            "attempts": 2,
        },
        {
            "name": "write",
            "host": "h.example",
            "prefix": "/write/",
            "kind": "unsafe",
            "timeout": "5s",
            "priority": 0,
            "service": "svc-1",
            "attempts": 1,
        },
    ],
    "services": [
        {"name": name, "healthCheckPath": "/healthz"} for name in ("svc-0", "svc-1")
    ],
}


def free_ports(host):
    """Return a free port for each of `PORTS`; `internal` starts a range."""
    sockets = [socket.create_server((host, 0)) for _ in PORTS]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return dict(zip(PORTS, ports, strict=True))


class Vm:
    """A VM with one daemon process and one upstream."""

    def __init__(self, number, store, folder, bounds=""):
        self.number = number
        self.host = HOSTS[number]
        self.ports = free_ports(self.host)
        self.service = f"svc-{number}"
        self.path = Path(folder) / f"{number}.toml"
        internal = self.ports["internal"]
        self.path.write_text(
            BOOT.format(
                number=number,
                host=self.host,
                service=self.service,
                store=store.port,
                last=internal + 15,
                bounds=bounds,
                **self.ports,
            )
        )
        self.process = None
        self.output = subprocess.DEVNULL
        self.upstream = Upstream(
            self.service,
            self.host,
            self.ports["app"],
            self.ports["control"],
            f"i-{number}",
        )

    def start(self):
        self.process = subprocess.Popen(
            COMMAND,
            env={**os.environ, "PAPAYABAY_CONFIG": str(self.path)},
            stdin=subprocess.DEVNULL,
            stdout=self.output,
        )

    def kill(self):
        self.process.kill()
        self.process.wait()

    def url(self, port):
        return f"http://{self.host}:{self.ports[port]}"


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStore()
        self.store.era = 1
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.put("op", "config", CONFIGURATION)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.vms = [Vm(number, self.store, folder) for number in range(2)]
        for vm in self.vms:
            await vm.upstream.start()
            self.addAsyncCleanup(vm.upstream.stop)
            vm.start()
            self.addCleanup(vm.kill)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.number = 0
        await self.wait_until(self.serves)

    async def wait_until(self, condition):
        """Wait until a coroutine function returns a true value."""
        async with asyncio.timeout(BOUND_SECONDS):
            while not await condition():
                await asyncio.sleep(0.05)

    async def serves(self):
        status, _, _ = await self.send("/read/ready")
        return status == 200

    async def send(self, path, vm=0, host="h.example"):
        """Return status, header fields and body; status 0 for no answer."""
        self.number += 1
        fields = {
            "Host": host,
            "X-Papayabay-Request-Id": f"{self.number:x}",
            "X-Papayabay-Deadline-Ms": "5000",
        }
        url = self.vms[vm].url("outbound") + path
        try:
            async with self.session.get(url, headers=fields) as response:
                return response.status, response.headers, await response.text()
        except aiohttp.ClientError:
            return 0, {}, ""

    async def ready(self, vm):
        async with self.session.get(self.vms[vm].url("ready") + "/ready") as response:
            return response.status

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

    async def test_an_extra_answer_is_not_used_for_another_request(self):
        upstream = self.vms[1].upstream
        upstream.faults = ["extra"]
        for number in range(4):
            status, _, body = await self.send(f"/read/{number}")
            self.assertEqual(status, 200)
            self.assertEqual(body, f"i-1 ran /read/{number}")
