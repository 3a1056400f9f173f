"""Real daemons with the platform's adapter, against stand-ins."""

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
"""Addresses of this test run alone: the port of the metrics is fixed, and two
runs on one machine would take it from each other."""
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
    """Return a free port for each of `PORTS`; `internal` begins three."""
    sockets = [socket.create_server((host, 0)) for _ in PORTS]
    ports = [taken.getsockname()[1] for taken in sockets]
    for taken in sockets:
        taken.close()
    return dict(zip(PORTS, ports, strict=True))


class Vm:
    """One daemon process and the upstream beside it."""

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

    def end(self):
        self.process.kill()
        self.process.wait()

    def url(self, door):
        return f"http://{self.host}:{self.ports[door]}"


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
            self.addCleanup(vm.end)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.number = 0
        await self.until(self.serves)

    async def until(self, condition):
        """Wait until a coroutine function returns something true."""
        async with asyncio.timeout(BOUND_SECONDS):
            while not await condition():
                await asyncio.sleep(0.05)

    async def serves(self):
        status, _, _ = await self.ask("/read/ready")
        return status == 200

    async def ask(self, path, vm=0, host="h.example"):
        """Return status, fields and body; 0 without an answer."""
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

    async def test_a_request_crosses_two_daemons_and_comes_back_as_it_is(self):
        status, fields, body = await self.ask("/read/1?x=%20y")
        self.assertEqual((status, body), (200, "i-1 ran /read/1?x=%20y"))
        self.assertEqual(fields["X-Papayabay-Upstream-Signature"], "signed-i-1")
        self.assertEqual(fields["X-Papayabay-Request-Id"], f"{self.number:x}")
        _, seen = self.vms[1].upstream.seen[-1]
        self.assertEqual(seen["x-papayabay-caller-service"], "svc-0")
        self.assertLessEqual(int(seen["x-papayabay-deadline-ms"]), 5_000)
        self.assertEqual(seen["host"], "h.example")
        self.assertEqual(await self.ready(0), 200)
        self.assertEqual((await self.ask("/else/1"))[0], 404)

    async def test_a_new_version_is_in_force_at_all_and_outlives_the_store(self):
        changed = CONFIGURATION | {"version": "r8", "routes": []}
        await self.store.put("op", "config", changed)

        async def gone():
            answers = [await self.ask("/read/1", vm) for vm in range(2)]
            return [status for status, _, _ in answers] == [404, 404]

        await self.until(gone)
        self.store.failing = 503
        self.assertTrue(await gone())

    async def test_a_store_that_comes_back_from_an_older_copy_is_caught_up(self):
        """What was lost is written again, and what is written since is heard.

        The copy has none of papayabay's rows. The store has come to its former
        version again before anybody asks it.
        """

        async def seeds_kept():
            kept = {key for table, key in self.store.rows if table == "papayabay"}
            return kept >= {"seeds/zone-0", "seeds/zone-1"}

        await self.until(seeds_kept)
        rows, version = self.store.copy()
        rows = {name: row for name, row in rows.items() if name[0] != "papayabay"}
        for _ in range(5):
            await self.store.put("others", "row", {})
        await self.store.restore((rows, version))
        changed = CONFIGURATION | {"version": "r8", "routes": []}
        await self.store.put("op", "config", changed)
        for _ in range(9):
            await self.store.put("others", "row", {})

        async def gone():
            answers = [await self.ask("/read/1", vm) for vm in range(2)]
            return [status for status, _, _ in answers] == [404, 404]

        await self.until(gone)
        await self.until(seeds_kept)

    async def test_a_draining_upstream_gets_nothing_new(self):
        """A leaving upstream got work after its report was acknowledged."""
        upstream = self.vms[1].upstream
        upstream.state = "draining"
        await asyncio.wait_for(upstream.acknowledged.wait(), BOUND_SECONDS)
        served = len(upstream.seen)
        status, fields, _ = await self.ask("/read/1")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", fields)
        self.assertEqual(len(upstream.seen), served)

    async def test_a_stop_cuts_off_no_request(self):
        """Symptom: a request in flight was lost when its daemon was stopped.

        Sequence: the upstream works on it; the daemon beside it, and then
        the one that took it, get SIGTERM; the upstream answers after that.
        """
        upstream = self.vms[1].upstream
        upstream.hold.clear()
        running = len(upstream.seen)
        asked = asyncio.create_task(self.ask("/read/slow"))

        async def runs():
            return len(upstream.seen) > running

        await self.until(runs)
        for vm in self.vms:
            vm.process.send_signal(signal.SIGTERM)

        async def refused():
            return await self.ready(0) == 503

        await self.until(refused)
        upstream.hold.set()
        status, _, body = await asked
        self.assertEqual((status, body), (200, "i-1 ran /read/slow"))
        for vm in self.vms:
            ended = await asyncio.to_thread(vm.process.wait, BOUND_SECONDS)
            self.assertEqual(ended, 0)

    async def test_a_killed_daemon_is_back_and_serves_before_the_next_beat(self):
        """Symptom: a target served nobody after its daemon was back.

        Sequence: the daemon is killed and started again, the upstream runs
        on and will send its next heartbeat later. Cause: the daemon waited
        for it.
        """
        self.vms[1].upstream.beating.clear()
        self.vms[1].end()
        self.vms[1].start()
        await self.until(self.serves)

    async def test_a_rejected_request_is_told_as_not_run(self):
        upstream = self.vms[1].upstream
        upstream.seen.clear()
        upstream.faults = ["reject"]
        status, fields, _ = await self.ask("/write/order")
        self.assertEqual(status, 503)
        self.assertGreater(float(fields["Retry-After"]), 0)
        self.assertEqual(upstream.seen, [])

    async def test_a_request_whose_answer_is_lost_is_not_promised(self):
        """A caller placed an order twice.

        Sequence: the upstream runs the order, and its answer is lost or can't
        be read; the caller is told that it has not run, and asks again. Cause:
        a broken connection taken for a refusal.
        """
        upstream = self.vms[1].upstream
        for fault in ("drop", "garble", "truncate"):
            with self.subTest(fault=fault):
                upstream.seen.clear()
                upstream.faults = [fault]
                status, _, _ = await self.ask("/write/order")
                self.assertIn(status, {0, 502, 504})
                self.assertEqual(len(upstream.seen), 1)

    async def test_an_extra_answer_reaches_no_other_request(self):
        upstream = self.vms[1].upstream
        upstream.faults = ["extra"]
        for number in range(4):
            status, _, body = await self.ask(f"/read/{number}")
            self.assertEqual(status, 200)
            self.assertEqual(body, f"i-1 ran /read/{number}")
