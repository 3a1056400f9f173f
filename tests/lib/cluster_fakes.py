"""In-memory neighbours of membership and configuration."""

import asyncio
import random

from papayabay_core.exceptions import ConditionFailed, PlatformError, ProtocolError
from papayabay_core.platform import Row, StoreEra
from papayabay_core.settings import DaemonSettings
from papayabay_daemon._internal.links.limits import MAX_PAYLOAD_BYTES

BOUND_SECONDS = 20.0


class MemoryTable:
    """A table service that can be down and can hold writes up."""

    def __init__(self):
        self.era = StoreEra()
        self.rows = {}
        self.down = False
        self.writes = 0
        self.before_write = None

    def check(self):
        if self.down:
            raise PlatformError("table service: connection refused")

    async def get(self, key):
        self.check()
        return self.rows.get(key)

    async def scan(self, prefix, after="", limit=100):
        self.check()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [self.rows[key] for key in keys[:limit]]

    async def write(self, puts):
        if self.before_write is not None:
            await self.before_write()
        self.check()
        for put in puts:
            row = self.rows.get(put.key)
            revision = row.revision if row else 0
            if put.expected is not None and put.expected != revision:
                raise ConditionFailed(f"{put.key} has revision {revision}")
        self.writes += 1
        for put in puts:
            row = self.rows.pop(put.key, None)
            if put.value is not None:
                revision = row.revision + 1 if row else 1
                self.rows[put.key] = Row(put.key, put.value, revision)


class LinkNetwork:
    """Links between the daemons of one test; counts what they carry."""

    def __init__(self):
        self.handlers = {}
        self.partitioned = set()
        self.bytes = {}

    def links(self, name):
        self.handlers[name] = {}
        return MemoryLinks(self, name)


class MemoryLinks:
    """One daemon's links."""

    def __init__(self, network, name):
        self.network = network
        self.name = name

    def handle_requests(self, topic, handler):
        self.network.handlers[self.name][topic] = handler

    async def request(self, peer, topic, payload, timeout):
        network = self.network
        await asyncio.sleep(0)
        gone = peer.name not in network.handlers
        if gone or {peer.name, self.name} & network.partitioned:
            raise ProtocolError(f"no link to {peer.name}")
        handler = network.handlers[peer.name].get(topic)
        if handler is None:
            raise ProtocolError(f"{peer.name} does not answer {topic}")
        async with asyncio.timeout(timeout):
            answer = await handler(payload, self.name)
        if max(len(payload), len(answer)) > MAX_PAYLOAD_BYTES:
            raise ProtocolError(f"{topic}: longer than a link carries")
        size = len(payload) + len(answer)
        network.bytes[topic] = network.bytes.get(topic, 0) + size
        return answer


def make_settings(name, domain="d1", **timing):
    """Return settings with short periods."""
    periods = {"gossip_period_ms": 50, "suspicion_ms": 300, "config_poll_ms": 50}
    return DaemonSettings.model_validate(
        {
            "vm": {"name": name, "failure_domain": domain},
            "cluster": {"secret": "test-secret"},
            "platform": {"table_url": "http://x", "object_url": "http://x"},
            "timing": periods | timing,
        }
    )


def seeded_rng(name):
    """Return a random generator that is the same in every run."""
    return random.Random(name)


async def wait_for_condition(condition, listen):
    """Wait, with a bound, until a condition holds after some event.

    `listen` registers a callback for each event after which the condition
    may have come true.
    """
    changed = asyncio.Event()
    listen(lambda *_: changed.set())
    async with asyncio.timeout(BOUND_SECONDS):
        while not condition():
            await changed.wait()
            changed.clear()
