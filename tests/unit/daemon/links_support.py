"""Fixtures for tests with links of several daemons in one process."""

import asyncio
import random
from unittest import IsolatedAsyncioTestCase

from papayabay_core.calls import Answer, Body, Call
from papayabay_core.errors import CallError
from papayabay_core.importance import Importance
from papayabay_core.settings import DaemonSettings
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.interfaces import Member
from papayabay_daemon._internal.links import PeerLinks

TIMEOUT_SECONDS = 10


def make_links(name, secret="a long secret", incarnation=1, **timing):
    settings = DaemonSettings.model_validate(
        {
            "vm": {"name": name, "failure_domain": "d1"},
            "cluster": {"secret": secret},
            "platform": {"table_url": "http://127.0.0.1", "object_url": "http://x"},
            "timing": timing,
        }
    )
    local = Member(name, incarnation, "127.0.0.1", 0, 0, 0, "d1", "r1")
    return PeerLinks(settings, local, random.Random(1))


def make_call(path="/", body=b"", lifetime=30.0, rest=None):
    return Call(
        request_id="r-1",
        service="shop",
        method="POST",
        path=path,
        headers=[("X-Name", "v\udcff\u00e9"), ("X-Empty", "")],
        body=Body(body, rest),
        importance=Importance.SHEDDABLE,
        rank=65_535,
        depth=3,
        expires_at=now() + lifetime,
        credits=2,
        idempotent=False,
        idempotency_key="k",
        path_key="p",
        repeated=True,
        declared_class=Importance.NORMAL,
    )


async def echo_path(call, peer):
    return Answer(200, [], Body(call.path.encode()))


async def parts_of(content, size):
    for start in range(0, len(content), size):
        yield content[start : start + size]


async def broken_parts(content):
    yield content
    raise ConnectionResetError


async def read_all(body):
    parts = [body.first]
    if body.rest is not None:
        parts += [part async for part in body.rest]
    return b"".join(parts)


class LinksTestCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.a = await self.started(make_links("a"))
        self.b = await self.started(make_links("b"))
        self.peer = self.b.local

    async def started(self, links):
        await links.start()
        self.addAsyncCleanup(links.close)
        return links

    def serve(self, handler):
        self.b.handle_calls(handler, handler)

    async def assert_kind(self, kind, awaitable):
        with self.assertRaises(CallError) as caught:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await awaitable
        self.assertEqual(caught.exception.kind, kind)
