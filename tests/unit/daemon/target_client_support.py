"""A target client and targets that send scripted bytes, for tests."""

import unittest

from papayabay_core.errors import CallError
from papayabay_daemon._internal.target import (
    Announcement,
    HttpTargetClient,
    TargetRegistry,
)
from tests.unit.daemon.door_fakes import RawTarget, bounded, call, settings


def replying(data, close=False):
    """Return the behaviour of a target that sends fixed bytes."""

    async def behave(reader, writer):
        writer.write(data)
        if close:
            writer.close()

    return behave


async def silent(reader, writer):
    """Read a request and never answer."""
    await reader.read()


def endless(start, part):
    """Return the behaviour of a target that sends until its caller closes."""

    async def behave(reader, writer):
        writer.write(start)
        while True:
            writer.write(part)
            await writer.drain()

    return behave


def announcement(**changes):
    """Return an announcement of a target, with some values changed."""
    values = {"service": "svc", "host": "127.0.0.1", "port": 9, "slots": 4}
    return Announcement(**{**values, "connections": 8, "lease_ms": 1000, **changes})


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a registry and a client for its target."""

    async def asyncSetUp(self):
        self.registry = TargetRegistry()
        self.client = HttpTargetClient(settings(inline_body_bytes=1024), self.registry)
        self.addAsyncCleanup(self.client.close)

    async def open(self, behave, **changes):
        """Start a target and announce it."""
        target = RawTarget(behave)
        await self.enterAsyncContext(target)
        self.announce(target.port, **changes)
        return target

    def announce(self, port, **changes):
        values = {"service": "svc", "host": "127.0.0.1", "port": port, "slots": 4}
        values["connections"] = 4
        self.registry.announce(Announcement(**{**values, **changes}))

    async def run_call(self, sent=None):
        """Run a call and return its answer."""
        return await bounded(self.client.run(sent or call(), "t1"))

    async def fails(self, kind, sent=None):
        """Run a call that fails with a kind; return the error."""
        with self.assertRaises(CallError) as caught:
            await self.run_call(sent)
        self.assertEqual(caught.exception.kind, kind)
        return caught.exception
