"""Tests of reading the operator's configuration from the store."""

import json
import unittest

from papayabay_core.exceptions import PlatformError, PolicyError
from papayabay_core.platform import StoreEra
from papayabay_platform.configuration import OperatorVersions, parse_version
from papayabay_platform.store import HistoryGone, Page, StoredRow

ROUTE = {
    "name": "r-1",
    "host": "hulo.example",
    "prefix": "/leny/",
    "kind": "safe",
    "timeout": "1200ms",
    "targetLatency": "1500ms",
    "priority": 2,
    "weightedClusters": [
        {"service": "svc-a", "weight": 90},
        {"service": "svc-b", "weight": 10},
    ],
    "attempts": 2,
}
ORDER = {
    "name": "r-2",
    "host": "jepu.example",
    "prefix": "/puka/",
    "kind": "unsafe",
    "timeout": "1.5s",
    "priority": 0,
    "service": "svc-a",
    "attempts": 2,
}


def written(version="r7", **changes):
    values = {
        "version": version,
        "routes": [ROUTE, ORDER],
        "services": [{"name": "svc-a"}, {"name": "svc-b"}],
        "limits": {"idleTimeout": "15000ms"},
    }
    return json.dumps(values | changes).encode()


class FakeClient:
    """Returns the given pages in order; raises those that are exceptions."""

    def __init__(self, *pages):
        self.era = StoreEra()
        self.pages = list(pages)
        self.requests = []

    async def read(self, table, first="", after_last="", limit=500):
        self.requests.append(("read", table, first))
        return self.next()

    async def feed(self, table, after, wait_ms):
        self.requests.append(("feed", table, after))
        return self.next()

    def next(self):
        page = self.pages.pop(0)
        if isinstance(page, Exception):
            raise page
        return page


def page(content, version, key="config"):
    return Page([StoredRow(key, content, version)], version)


class VersionsTest(unittest.IsolatedAsyncioTestCase):
    def versions(self, *pages):
        self.client = FakeClient(*pages)
        return OperatorVersions(self.client, {"ratio": 0.1}, {})

    async def test_version_becomes_a_policy(self):
        loaded = await self.versions(page(written(), 5)).load()
        self.assertEqual((loaded.version, loaded.confirmed), (7, True))
        routes = loaded.policy().routes
        rule = routes.find("hulo.example", "/leny/2f").rules[0]
        self.assertTrue(rule.idempotent)
        self.assertEqual((rule.deadline_ms, rule.attempts), (1_200, 2))
        order = routes.find("jepu.example", "/puka/2f").rules[0]
        self.assertFalse(order.idempotent)
        self.assertEqual(order.importance, 0)

    async def test_store_without_configuration(self):
        loaded = await self.versions(Page([], 0)).load()
        self.assertEqual((loaded.version, loaded.confirmed), (0, False))

    async def test_changes_are_requested_since_the_last_page(self):
        versions = self.versions(
            page(written(), 5), Page([], 6), page(written("r9"), 8)
        )
        await versions.load()
        self.assertIsNone(await versions.changed(1.0))
        self.assertEqual((await versions.changed(1.0)).version, 9)
        self.assertEqual([request[-1] for request in self.client.requests[1:]], [5, 6])

    async def test_missing_history_causes_a_full_read(self):
        """Guards against a version that is missed for good.

        The store discards its history before the daemon has read it, and
        later answers of the feed don't contain the discarded changes.
        """
        versions = self.versions(
            page(written(), 5), HistoryGone("gone"), page(written("r9"), 80)
        )
        await versions.load()
        self.assertEqual((await versions.changed(1.0)).version, 9)
        self.assertEqual(versions.read_version, 80)

    async def test_invalid_version_is_a_policy_error(self):
        for content in (
            b"{",
            written("7"),
            written(routes=[ROUTE | {"timeout": "soon"}]),
            written(routes=[{"name": "r"}]),
        ):
            with self.subTest(content), self.assertRaises(PolicyError):
                await self.versions(page(content, 5)).load()

    async def test_store_failure_is_a_platform_error(self):
        with self.assertRaises(PlatformError):
            await self.versions(PlatformError("down")).load()

    def test_version_numbers(self):
        self.assertEqual(parse_version("r12"), 12)
        for text in ("12", "r", "r-1", "R1", 12, None):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_version(text)
