"""Base test case for daemons with the platform's adapter and stand-ins."""

import asyncio
import os
import subprocess
import sys
import tempfile
import unittest
from contextlib import ExitStack
from pathlib import Path

import aiohttp

from papayabay_bench.soak.vm import reserve, reserve_range
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
grace = "{grace}"
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
    with ExitStack() as stack:
        internal = reserve_range(stack, host)
        names = [name for name in PORTS if name != "internal"]
        return {"internal": internal} | {
            name: reserve(stack, host, 0).getsockname()[1] for name in names
        }


class Vm:
    """A VM with one daemon process and one upstream."""

    def __init__(self, number, store, folder, bounds="", grace="3s"):
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
                grace=grace,
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


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs two daemons, each beside an upstream, and a store."""

    grace = "3s"

    async def asyncSetUp(self):
        self.store = PlatformStore()
        self.store.era = 1
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        await self.store.put("op", "config", CONFIGURATION)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.vms = [
            Vm(number, self.store, folder, grace=self.grace) for number in range(2)
        ]
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
