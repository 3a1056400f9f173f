"""Tests of gathering reports from all daemons of a large fleet."""

import asyncio
import json
import random
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.interfaces import Member
from papayabay_daemon._internal.links.limits import MAX_PAYLOAD_BYTES
from papayabay_daemon._internal.status.fleet import (
    GATHER_TOPIC,
    LOCAL_FALLBACKS_MAX,
    FleetReports,
)
from papayabay_daemon._internal.status.partitions import (
    FAN_OUT,
    MESSAGE_BYTES_MAX,
    gather_timeout,
    pack,
    unpack,
)
from papayabay_daemon._internal.status.sums import BurnSums
from tests.unit.daemon.links_support import make_links

MEMBERS = 13_000
FEWER_MEMBERS = 1_500
DOMAINS = 20
PAD = "x" * 500


def make_page(name, version=7, confirmed=True):
    """Return a status page."""
    return {
        "name": name,
        "failure_domain": "d",
        "configuration": {"version": version, "confirmed": confirmed},
        "admission": {"in_flight": 2, "queued": 1},
        "target": {"service": "shop"},
        "pad": PAD,
    }


def make_burn_report():
    """Return a daemon's burn report."""
    counts = {"good": 3, "failed": 1, "refused": 0, "slow": 0}
    return {"version": 7, "paths": {"shop/buy": {"5m": counts}}, "left_out": 1}


class Fleet:
    """Daemons that reach each other through function calls.

    Attributes
    ----------
    dead : dict of str to sequence of str
        Topics that a daemon does not answer, by its name.
    pages : dict of str to dict
        Status pages that differ from `make_page`, by the daemon's name.
    sent : Counter
        Requests that each daemon has sent.
    largest : int
        Bytes of the largest request or answer.
    """

    def __init__(self, count):
        self.all = {}
        for number in range(count):
            domain = f"domain-{number % DOMAINS}"
            name = f"vm-{number:05d}"
            self.all[name] = Member(name, 1, "127.0.0.1", 1, 1, 1, domain, "r")
        self.dead = {}
        self.pages = {}
        self.sent = Counter()
        self.largest = 0
        self.nodes = {}

    def report(self, name, topic):
        """Return a daemon's report."""
        if topic == "burn":
            return make_burn_report()
        return self.pages.get(name) or make_page(name)

    def node(self, name):
        """Return a daemon's `FleetReports`, made when first needed."""
        if name not in self.nodes:
            members = SimpleNamespace(
                local=self.all[name],
                live=lambda: list(self.all.values()),
                get=self.all.get,
            )
            reports = {
                "status": lambda: self.report(name, "status"),
                "burn": lambda: self.report(name, "burn"),
            }
            links = FakeLinks(self, name)
            rng = random.Random(name)
            self.nodes[name] = FleetReports(members, links, reports, rng)
        return self.nodes[name]


class FakeLinks:
    """Delivers one daemon's requests, and counts them."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.topics = {}

    def handle_requests(self, topic, handler):
        self.topics[topic] = handler

    async def request(self, peer, topic, payload, timeout):
        fleet = self.fleet
        fleet.sent[self.name] += 1
        unanswered = fleet.dead.get(peer.name, ())
        if topic in unanswered:
            raise TimeoutError
        if topic == GATHER_TOPIC:
            links = fleet.node(peer.name).links
            answer = await links.topics[topic](payload, self.name)
        else:
            answer = json.dumps(fleet.report(peer.name, topic)).encode()
        fleet.largest = max(fleet.largest, len(payload), len(answer))
        return answer


ALL_TOPICS = ("status", "burn", GATHER_TOPIC)


class RealLinksTests(unittest.IsolatedAsyncioTestCase):
    async def test_partitions_are_gathered_over_links(self):
        """Nine daemons, four of them stopped, partitions of two or three."""
        all_links = [make_links(f"vm-{number}") for number in range(9)]
        known = {links.local.name: links.local for links in all_links}
        fleets = []
        for links in all_links:
            await links.start()
            self.addAsyncCleanup(links.close)
            members = SimpleNamespace(
                local=links.local, live=lambda: list(known.values()), get=known.get
            )
            fleets.append(FleetReports(members, links, {"burn": make_burn_report}))
        for links in all_links[5:]:
            await links.close()
        package = "papayabay_daemon._internal.status"
        with (
            mock.patch(f"{package}.fleet.FAN_OUT", 3),
            mock.patch(f"{package}.partitions.FAN_OUT", 3),
            mock.patch(f"{package}.fleet.FULL_REPORTS_MAX", 3),
        ):
            got = await fleets[0].gather("burn")
        self.assertEqual(sorted(got["sums"]["versions"]), sorted(known)[:5])
        self.assertEqual(sorted(got["not_heard"]), sorted(known)[5:])
        self.assertEqual(got["sums"]["left_out"], 5)


class GatherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # In debug mode asyncio keeps a traceback for each of 13,000 tasks.
        asyncio.get_running_loop().set_debug(False)
        self.fleet = Fleet(FEWER_MEMBERS)

    async def gather(self, topic):
        return await self.fleet.node("vm-00000").gather(topic)

    async def test_requests_of_each_daemon_are_bounded(self):
        """Gathering must not make one daemon request all reports.

        It would ask 13,000 others and hold 200 MB of their reports.
        """
        self.fleet = Fleet(MEMBERS)
        got = await self.gather("status")
        totals = got["sums"]["totals"]
        self.assertEqual(totals["daemons"], MEMBERS)
        self.assertEqual(totals["in_flight"], 2 * MEMBERS)
        self.assertEqual(got["sums"]["versions"], {"7": MEMBERS})
        self.assertEqual(got["not_heard"], {})
        self.assertLessEqual(max(self.fleet.sent.values()), FAN_OUT)
        self.assertLess(self.fleet.sent.total(), 1.1 * MEMBERS)
        self.assertLess(self.fleet.largest, MAX_PAYLOAD_BYTES // 4)

    async def test_partition_of_dead_delegate_is_gathered_by_another(self):
        """A partition must not be missing because its delegate is dead.

        All delegates of a first gathering, on every level, are dead in the
        second one.
        """
        self.fleet = Fleet(MEMBERS)
        await self.gather("burn")
        delegates = [n for n in self.fleet.sent if n != "vm-00000"]
        self.fleet.dead = dict.fromkeys(delegates, ALL_TOPICS)
        self.fleet.nodes.clear()
        got = await self.gather("burn")
        self.assertGreater(len(delegates), 100)
        self.assertFalse(set(got["not_heard"]) ^ set(delegates))
        self.assertEqual({c[:12] for c in got["not_heard"].values()}, {"TimeoutError"})
        sums = got["sums"]
        heard = MEMBERS - len(delegates)
        self.assertEqual(len(sums["versions"]), heard)
        self.assertEqual(sums["paths"]["shop/buy"]["5m"]["good"], 3 * heard)
        self.assertEqual(sums["left_out"], heard)

    async def test_partitions_that_nobody_gathers_are_reported(self):
        """All delegates fail, and the fallback to asking directly is bounded.

        The members that were not asked are reported with the cause.
        """
        self.fleet = Fleet(MEMBERS)
        self.fleet.dead = dict.fromkeys(list(self.fleet.all)[1:], (GATHER_TOPIC,))
        got = await self.gather("burn")
        heard = set(got["sums"]["versions"])
        self.assertEqual(heard | set(got["not_heard"]), set(self.fleet.all))
        self.assertEqual(len(heard) + len(got["not_heard"]), MEMBERS)
        for cause in got["not_heard"].values():
            self.assertIn("was not gathered: vm-", cause)
        asked = self.fleet.sent["vm-00000"]
        self.assertLess(asked, 3 * FAN_OUT + LOCAL_FALLBACKS_MAX * FAN_OUT)

    async def test_malformed_reports_and_outliers(self):
        self.fleet.pages = {
            "vm-00011": make_page("vm-00011", version=6),
            "vm-00012": make_page("vm-00012", confirmed=False),
            "vm-00013": {"name": "of another release"},
        }
        got = await self.gather("status")
        sums = got["sums"]
        self.assertEqual(set(sums["outliers"]), {"vm-00011", "vm-00012"})
        self.assertEqual(sums["outliers"]["vm-00011"]["pad"], PAD)
        self.assertEqual(sums["versions"], {"6": 1, "7": FEWER_MEMBERS - 2})
        self.assertEqual(sums["totals"]["unconfirmed"], 1)
        self.assertEqual(list(got["not_heard"]), ["vm-00013"])
        self.assertIn("can't be read", got["not_heard"]["vm-00013"])

    async def test_outliers_are_bounded_and_counted(self):
        for name in self.fleet.all:
            self.fleet.pages[name] = make_page(name, confirmed=False)
        sums = (await self.gather("status"))["sums"]
        self.assertEqual(sums["totals"]["outliers"], FEWER_MEMBERS)
        self.assertEqual(len(sums["outliers"]), 16)
        self.assertLess(self.fleet.largest, MAX_PAYLOAD_BYTES)

    async def test_partly_malformed_report_is_not_added(self):
        report = make_burn_report()
        report["paths"]["shop/sell"] = {"5m": {"good": 1, "odd": 1}}
        sums = BurnSums()
        errors = sums.add_reports({"a": report, "b": make_burn_report()})
        self.assertEqual(list(errors), ["a"])
        self.assertEqual(sums.plain()["paths"]["shop/buy"]["5m"]["good"], 3)

    async def test_pages_contain_each_daemon_once(self):
        node, after, seen = self.fleet.node("vm-00000"), "", []
        while after is not None:
            page = await node.gather_page("status", after)
            self.assertLessEqual(len(page["heard"]), 200)
            seen += page["heard"]
            after = page["next"]
        self.assertEqual(seen, sorted(self.fleet.all))

    async def test_small_fleet_returns_full_reports(self):
        self.fleet = Fleet(200)
        self.fleet.dead = {"vm-00003": ALL_TOPICS}
        got = await self.gather("status")
        self.assertEqual(len(got["heard"]), 199)
        self.assertEqual(got["not_heard"], {"vm-00003": "TimeoutError: "})

    async def test_malformed_gather_requests_are_rejected(self):
        node = self.fleet.node("vm-00000")
        for content in (
            b"",
            b"garbage",
            pack([]),
            pack({"topic": "status", "names": []}),
            pack({"topic": "status", "names": [1]}),
            pack({"topic": "other", "names": ["a"]}),
            pack({"topic": "status", "names": ["x" * (MESSAGE_BYTES_MAX + 1)]}),
        ):
            with self.subTest(content[:20]), self.assertRaises(ProtocolError):
                await node.answer_gather(content, "vm-00001")

    def test_timeout_grows_with_levels_and_fits_the_commands_timeout(self):
        self.assertLess(gather_timeout(FAN_OUT), gather_timeout(204))
        self.assertLess(gather_timeout(204), gather_timeout(MEMBERS))
        self.assertLess(gather_timeout(MEMBERS), 25)
        self.assertEqual(unpack(pack(json.loads('{"a": 1}'))), {"a": 1})
