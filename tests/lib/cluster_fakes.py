"""In-memory fakes of the table service and of links between daemons."""

import asyncio
import random

from papayabay_core.exceptions import ConditionFailed, PlatformError, ProtocolError
from papayabay_core.platform import Row, StoreEra
from papayabay_core.settings import DaemonSettings
from papayabay_daemon._internal.links.limits import MAX_PAYLOAD_BYTES

BOUND_SECONDS = 20.0
"""Time limit of waits in tests."""


class MemoryTable:
    """A table service in memory.

    Attributes
    ----------
    down : bool
        Whether every call fails.
    writes : int
        Number of successful writes.
    before_write : callable or None
        Coroutine function that is awaited before each write.
    """

    def __init__(self):
        self.era = StoreEra()
        self.rows = {}
        self.down = False
        self.writes = 0
        self.before_write = None

    def check(self):
        """Raise `PlatformError` while the service is down."""
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
    """Links between the daemons of one test.

    Attributes
    ----------
    handlers : dict
        Request handlers by daemon and topic.
    partitioned : set of str
        Daemons that no other daemon can reach, and that can reach none.
    bytes : dict of str to int
        Payload bytes of requests and answers by topic.
    """

    def __init__(self):
        self.handlers = {}
        self.partitioned = set()
        self.bytes = {}

    def links(self, name):
        self.handlers[name] = {}
        return MemoryLinks(self, name)


class MemoryLinks:
    """One daemon's links to the others in its `LinkNetwork`."""

    def __init__(self, network, name):
        self.network = network
        self.name = name

    def handle_requests(self, topic, handler):
        self.network.handlers[self.name][topic] = handler

    async def request(self, peer, topic, payload, timeout):
        network = self.network
        await asyncio.sleep(0)
        unknown = peer.name not in network.handlers
        if unknown or {peer.name, self.name} & network.partitioned:
            raise ProtocolError(f"no link to {peer.name}")
        handler = network.handlers[peer.name].get(topic)
        if handler is None:
            raise ProtocolError(f"{peer.name} does not answer {topic}")
        async with asyncio.timeout(timeout):
            answer = await handler(payload, self.name)
        if max(len(payload), len(answer)) > MAX_PAYLOAD_BYTES:
            raise ProtocolError(f"{topic}: payload is longer than a link allows")
        size = len(payload) + len(answer)
        network.bytes[topic] = network.bytes.get(topic, 0) + size
        return answer

    async def replace_silent_link(self, peer, seconds):
        return False


def make_settings(name, domain="d1", **timing):
    """Return a daemon's settings, with short periods for tests."""
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
    """Return a random number generator seeded with a name."""
    return random.Random(name)


async def wait_for_condition(condition, listen):
    """Wait until a condition is true, for at most `BOUND_SECONDS`.

    `listen` registers a callback that is called on each event that may make
    the condition true.
    """
    changed = asyncio.Event()
    listen(lambda *_: changed.set())
    async with asyncio.timeout(BOUND_SECONDS):
        while not condition():
            await changed.wait()
            changed.clear()
