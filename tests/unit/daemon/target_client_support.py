"""A target that is scripted byte by byte, and a client for it."""

import unittest

from papayabay_core.errors import CallError
from papayabay_daemon._internal.target import (
    Announcement,
    HttpTargetClient,
    TargetRegistry,
)
from tests.unit.daemon.door_fakes import RawTarget, bounded, call, settings


def replying(data, close=False):
    async def behave(reader, writer):
        writer.write(data)
        if close:
            writer.close()

    return behave


async def silent(reader, writer):
    await reader.read()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.registry = TargetRegistry()
        self.client = HttpTargetClient(settings(inline_body_bytes=1024), self.registry)
        self.addAsyncCleanup(self.client.close)

    async def open(self, behave, **changes):
        target = RawTarget(behave)
        await self.enterAsyncContext(target)
        self.announce(target.port, **changes)
        return target

    def announce(self, port, **changes):
        values = {"service": "svc", "host": "127.0.0.1", "port": port, "slots": 4}
        values["connections"] = 4
        self.registry.announce(Announcement(**{**values, **changes}))

    async def run_call(self, made=None):
        return await bounded(self.client.run(made or call(), "t1"))

    async def fails(self, kind, made=None):
        with self.assertRaises(CallError) as caught:
            await self.run_call(made)
        self.assertEqual(caught.exception.kind, kind)
        return caught.exception
