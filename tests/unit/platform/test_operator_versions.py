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
    """Gives pages in turn; an exception is raised."""

    def __init__(self, *pages):
        self.era = StoreEra()
        self.pages = list(pages)
        self.asked = []

    async def read(self, table, first="", after_last="", limit=500):
        self.asked.append(("read", table, first))
        return self.next()

    async def feed(self, table, after, wait_ms):
        self.asked.append(("feed", table, after))
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

    async def test_a_version_becomes_a_policy(self):
        loaded = await self.versions(page(written(), 5)).load()
        self.assertEqual((loaded.version, loaded.confirmed), (7, True))
        routes = loaded.policy().routes
        rule = routes.find("hulo.example", "/leny/2f").rules[0]
        self.assertTrue(rule.idempotent)
        self.assertEqual((rule.deadline_ms, rule.attempts), (1_200, 2))
        order = routes.find("jepu.example", "/puka/2f").rules[0]
        self.assertFalse(order.idempotent)
        self.assertEqual(order.importance, 0)

    async def test_nothing_written_yet(self):
        loaded = await self.versions(Page([], 0)).load()
        self.assertEqual((loaded.version, loaded.confirmed), (0, False))

    async def test_changes_are_asked_for_from_the_last_page_on(self):
        versions = self.versions(
            page(written(), 5), Page([], 6), page(written("r9"), 8)
        )
        await versions.load()
        self.assertIsNone(await versions.changed())
        self.assertEqual((await versions.changed()).version, 9)
        self.assertEqual([asked[-1] for asked in self.client.asked[1:]], [5, 6])

    async def test_changes_that_are_gone_bring_the_whole(self):
        """A version was missed for good.

        The store drops its history while it tells of no changes; what was
        written meanwhile is in no later answer to the same question.
        """
        versions = self.versions(
            page(written(), 5), HistoryGone("gone"), page(written("r9"), 80)
        )
        await versions.load()
        self.assertEqual((await versions.changed()).version, 9)
        self.assertEqual(versions.read_version, 80)

    async def test_what_is_no_version_is_a_policy_error(self):
        for content in (
            b"{",
            written("7"),
            written(routes=[ROUTE | {"timeout": "soon"}]),
            written(routes=[{"name": "r"}]),
        ):
            with self.subTest(content), self.assertRaises(PolicyError):
                await self.versions(page(content, 5)).load()

    async def test_a_store_that_fails_is_a_platform_error(self):
        with self.assertRaises(PlatformError):
            await self.versions(PlatformError("down")).load()

    def test_version_numbers(self):
        self.assertEqual(parse_version("r12"), 12)
        for text in ("12", "r", "r-1", "R1", 12, None):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_version(text)
