"""Fakes and raw HTTP helpers for tests of the doors and the target client."""

import asyncio
import time
import unittest

from papayabay_core.calls import Answer, Body, Call
from papayabay_core.importance import Importance
from papayabay_core.settings import DaemonSettings
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.doors import CallerDoor

BOUND_SECONDS = 10


def settings(**limits):
    return DaemonSettings.model_validate(
        {
            "vm": {"name": "vm1", "failure_domain": "a"},
            "cluster": {"secret": "long enough"},
            "platform": {"table_url": "http://x", "object_url": "http://x"},
            "limits": limits,
        }
    )


async def bounded(awaitable):
    return await asyncio.wait_for(awaitable, BOUND_SECONDS)


class FakeFlow:
    """A `CallFlow` that records requests and answers them by a function."""

    def __init__(self, reply=None):
        self.reply = reply
        self.seen = []
        self.cancelled = asyncio.Event()
        self.started = asyncio.Event()

    async def handle_request(self, incoming):
        self.seen.append(incoming)
        self.started.set()
        if self.reply is None:
            return Answer(200, [], Body(b"ok"))
        try:
            return await self.reply(incoming)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise

    async def handle_outgoing(self, incoming):
        return await self.handle_request(incoming)


async def exchange(port, data, end=None):
    """Send raw bytes; return what is received up to `end` or the close."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        if end is None:
            return await bounded(reader.read())
        return await bounded(reader.readuntil(end))
    finally:
        writer.close()


def request(path="/x", method="GET", headers=(), body=b"", close=True):
    lines = [f"{method} {path} HTTP/1.1", "Host: svc.example"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


def parse(raw):
    """Return status, list of (name, value) and body of a raw answer."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    fields = [tuple(line.split(": ", 1)) for line in lines[1:]]
    return int(lines[0].split()[1]), fields, body


def call(
    method="GET",
    path="/x",
    headers=(),
    body=None,
    life=BOUND_SECONDS,
    request_id="r1",
):
    return Call(
        request_id=request_id,
        service="svc",
        method=method,
        path=path,
        headers=list(headers),
        body=body or Body(),
        importance=Importance.NORMAL,
        rank=7,
        depth=2,
        expires_at=now() + life,
        credits=3,
    )


class RawTarget:
    """A target whose behaviour on each connection is a coroutine function."""

    def __init__(self, behave):
        self.behave = behave
        self.requests = []
        self.accepted = 0
        self.gone = asyncio.Event()
        self.arrived = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        self.accepted += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head.decode("utf-8", "surrogateescape"))
                self.arrived.set()
                await self.behave(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # CancelledError: the test ended with the connection still open.
            pass
        finally:
            writer.close()
            self.gone.set()


class FakeClock:
    def __init__(self):
        self.time = time.monotonic()

    def __call__(self):
        return self.time


async def open_door(flow, key_minter=None, **limits):
    """Return a started door for callers; the caller must close it."""
    door = CallerDoor(settings(**limits), flow, key_minter)
    await door.start()
    return door


class DoorTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts doors for callers and sends them requests."""

    async def open(self, flow, key_minter=None, **limits):
        door = await open_door(flow, key_minter, **limits)
        self.addAsyncCleanup(door.close)
        return door

    async def ask(self, flow, data, **limits):
        door = await self.open(flow, **limits)
        return parse(await exchange(door.port, data))
