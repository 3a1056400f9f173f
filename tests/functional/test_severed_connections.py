"""Daemons whose open connections go silent while new ones work."""

import asyncio
import os
import sys
from contextlib import suppress
from unittest import mock

import aiohttp

from papayabay_platform.settings import STATUS_PORT
from tests.functional import platform_support
from tests.functional.platform_support import CONFIGURATION, PlatformTestCase

IN_FORCE_SECONDS = 2.5
ACKNOWLEDGED_SECONDS = 1.0
DEADLINE_SECONDS = 5.0
"""Deadline of the calls that `PlatformTestCase.send` sends."""
START = """
import os, socket
os.environ["UV_USE_IO_URING"] = "0"
from uvloop import Loop
plain_connect, create = Loop.sock_connect, Loop.create_connection
async def sock_connect(loop, sock, address):
    await plain_connect(loop, sock, ("127.0.0.1", int(os.environ["TEST_RELAY"])))
    await loop.sock_sendall(sock, f"{address[0]} {address[1]}\\n".encode())
async def create_connection(loop, factory, host=None, port=None, sock=None):
    if sock is None:
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, port))
    return await create(loop, factory, sock=sock)
Loop.sock_connect, Loop.create_connection = sock_connect, create_connection
import papayabay_platform.__main__
"""
"""Runs a daemon whose TCP connections all pass a `Relay`."""


class Relay:
    """Forwards connections; `severed` ones pass nothing any more."""

    def __init__(self):
        self.open, self.severed = set(), set()

    async def accept(self, reader, writer):
        host, port = (await reader.readline()).split()
        try:
            far_reader, far_writer = await asyncio.open_connection(host.decode(), port)
        except OSError:
            return writer.transport.abort()
        self.open.add(writer)
        with suppress(asyncio.CancelledError):  # Severed ones last until the end.
            await asyncio.gather(
                self.forward(writer, reader, far_writer),
                self.forward(writer, far_reader, writer),
            )
        self.open.discard(writer)

    async def forward(self, connection, reader, writer):
        """Forward one direction; the end of a severed one is not forwarded."""
        with suppress(OSError):
            while data := await reader.read(65_536):
                if connection not in self.severed:
                    writer.write(data)
        if connection not in self.severed:
            writer.transport.abort()


class SeveredConnectionsTest(PlatformTestCase):
    async def asyncSetUp(self):
        self.relay = Relay()
        server = await asyncio.start_server(self.relay.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        command = [sys.executable, "-P", "-c", START]
        self.enterContext(mock.patch.object(platform_support, "COMMAND", command))
        self.enterContext(mock.patch.dict(os.environ, TEST_RELAY=str(port)))
        await super().asyncSetUp()

    async def sever_with_calls_in_flight(self, count=3):
        """Sever all connections while some calls run; return their tasks."""
        upstream = self.vms[1].upstream
        upstream.may_answer.clear()
        executed = len(upstream.executed) + count
        calls = [asyncio.create_task(self.send("/read/stuck")) for _ in range(count)]
        await self.wait_for(lambda: len(upstream.executed) >= executed)
        self.relay.severed |= self.relay.open
        upstream.may_answer.set()
        return calls

    async def wait_for(self, condition):
        async def holds():
            return condition()

        await self.wait_until(holds)

    async def version(self, vm):
        """Return the version that is in force at a daemon."""
        port = self.vms[vm].ports["internal"] + STATUS_PORT
        async with self.session.get(f"http://127.0.0.1:{port}/policy") as answer:
            return (await answer.json())["version"]

    async def test_a_moved_route_is_in_force_in_time(self):
        """A route led to its former service for seconds after it had moved.

        All connections go silent just after a request for changes was sent.
        """
        for number, more in enumerate((3, 6, 4, 5, 3), start=4):
            self.store.calls["/rows-feed"] = -more
            await self.wait_for(lambda: self.store.calls["/rows-feed"] >= 0)
            calls = await self.sever_with_calls_in_flight()
            read, write = CONFIGURATION["routes"]
            routes = [read, write | {"service": f"svc-{number % 2}"}]
            changed = {"version": f"r{number}", "routes": routes}
            await self.store.put("op", "config", CONFIGURATION | changed)

            async def in_force(number=number):
                return [await self.version(vm) for vm in (0, 1)] == [number] * 2

            async with asyncio.timeout(IN_FORCE_SECONDS):
                await self.wait_until(in_force)
            await asyncio.gather(*calls)
            await self.wait_until(self.serves)

    async def test_a_leaving_target_gets_no_new_calls(self):
        """A target that had left got calls from daemons with silent links."""
        upstream = self.vms[1].upstream
        upstream.may_send_heartbeats.clear()
        calls = await self.sever_with_calls_in_flight()
        for upstream.state in ("ready", "draining"):
            async with aiohttp.ClientSession() as session:
                async with asyncio.timeout(ACKNOWLEDGED_SECONDS):
                    self.assertEqual(await upstream.send_heartbeat(session), 200)
        await asyncio.sleep(IN_FORCE_SECONDS)
        served = len(upstream.executed)
        for _ in range(8):
            async with asyncio.timeout(ACKNOWLEDGED_SECONDS):
                self.assertEqual((await self.send("/read/1"))[0], 503)
        self.assertEqual(len(upstream.executed), served)
        await asyncio.gather(*calls)

    async def test_silent_connections_to_a_target_cost_one_call_at_most(self):
        """Each silent idle connection to a target cost a call its deadline."""
        await asyncio.gather(*(self.send("/read/1") for _ in range(8)))
        calls = await self.sever_with_calls_in_flight(1)
        async with asyncio.timeout(DEADLINE_SECONDS + ACKNOWLEDGED_SECONDS):
            await asyncio.gather(*calls, *(self.send("/read/1") for _ in range(8)))
        async with asyncio.timeout(DEADLINE_SECONDS + ACKNOWLEDGED_SECONDS):
            await self.wait_until(self.serves)
