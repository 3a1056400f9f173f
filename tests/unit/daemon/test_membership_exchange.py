from unittest import mock

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.exchange import (
    ASK_GROUPS,
    ASK_RECORDS,
    GROUP,
    GROUP_BUCKETS,
    GROUPS,
    PAGE_BYTES,
    PAIR,
)
from papayabay_daemon._internal.membership.packets import (
    Update,
    encode_full,
)
from papayabay_daemon._internal.membership.table import BUCKETS
from tests.lib.cluster_fakes import (
    make_settings,
    seeded_rng,
)
from tests.unit.daemon.membership_support import ClusterTestCase


class ExchangeTest(ClusterTestCase):
    """How two daemons even out what they know."""

    async def test_reconciling_moves_only_the_difference(self):
        a, b = await self.start_many("ab")
        for number in range(200):
            for node in (a, b)[: 1 if number == 7 else 2]:
                name = f"x{number}"
                member = Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1")
                node.apply(Update(name, 1, MemberState.ALIVE, member))
        self.network.bytes.clear()
        await b.exchange.reconcile(a.local)
        self.assertIsNotNone(b.get("x7"))
        self.assertEqual(a.table.digests, b.table.digests)
        self.assertLess(self.network.bytes["members"], 512)

    async def test_the_last_page_of_a_list_is_no_news(self):
        """A daemon that joined 13,000 gossiped the last 28 of them.

        Its packets had three times their quiet size for over a minute.
        Sequence: the list comes in pages, the last one is short. Cause:
        each page was judged by its own length.
        """
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded_rng("b")
        )
        x, y = (
            Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop") for name in "xy"
        )
        middle = bytes((0, 7)) + encode_full(x)
        last = BUCKETS.to_bytes(2, "big") + encode_full(y)
        self.assertEqual(b.exchange.take_page(middle, 0), 7)
        self.assertEqual(b.exchange.take_page(last, 7), BUCKETS)
        self.assertEqual(len(b.live()), 3)
        self.assertEqual(len(b.gossip.updates), 0)

    async def test_one_reconcile_evens_out_everything(self):
        """After regions were apart, daemons lacked most upstreams for minutes.

        Sequence: two parts that each know 3,000 members meet again. Cause:
        one page of differences was fetched each half minute.
        """
        a, b = (
            Membership(
                make_settings(n), self.table, self.network.links(n), seeded_rng(n)
            )
            for n in "ab"
        )
        for node in (a, b):
            for number in range(3_000):
                name = f"{node.local.name}-{number:05d}"
                member = Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop")
                node.apply(Update(name, 1, MemberState.ALIVE, member))
        await a.exchange.reconcile(b.local)
        self.assertEqual(len(a.live()), 6_002)
        self.assertEqual(a.table.digests, b.table.digests)

    async def test_reconcile_refuses_pages_that_do_not_go_on(self):
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded_rng("b")
        )
        digests = [digest ^ 1 for digest in b.exchange.digests_of(0)]
        group = GROUP.pack(0, *digests)
        for answers in (
            [b"\x00"],
            [GROUP.pack(GROUPS, *digests)],
            [group, b"\x00"],
            [group, PAIR.pack(0, 0)],
            [group, PAIR.pack(GROUP_BUCKETS + 1, 0)],
            [group, PAIR.pack(1, 1)],
            [group, PAIR.pack(1, 1) + b"\xff\xff"],
        ):
            links = mock.Mock(request=mock.AsyncMock(side_effect=answers))
            b.exchange.links = links
            with self.subTest(answers), self.assertRaises(ProtocolError):
                await b.exchange.reconcile(b.local)
            self.assertEqual(links.request.await_count, len(answers))

    async def test_malformed_questions_are_refused(self):
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded_rng("b")
        )
        for question in (
            bytes((ASK_GROUPS, 0)),
            bytes((ASK_RECORDS, 0)),
            bytes((ASK_RECORDS,)) + PAIR.pack(BUCKETS, 0),
            bytes((ASK_RECORDS,)) + PAIR.pack(0, 2) + bytes(4),
        ):
            with self.subTest(question), self.assertRaises(ProtocolError):
                await b.exchange.answer(question, "a")

    async def test_reconciling_tells_of_deaths_and_of_newer_records(self):
        """A member restarted or died while two daemons were apart.

        Symptom to guard against: with fingerprints alone nobody would see
        that a record that only one of them holds belongs to the dead.
        """
        a, b = await self.start_many("ab")
        for name in ("dead", "newer", "older"):
            for node in (a, b):
                member = Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1")
                node.apply(Update(name, 1, MemberState.ALIVE, member))
        b.apply(Update("dead", 1, MemberState.DEAD))
        for node, name in ((a, "newer"), (b, "older")):
            member = Member(name, 2, "127.0.0.1", 1, 1, 1, "d1", "r1")
            node.apply(Update(name, 2, MemberState.ALIVE, member))
        await a.exchange.reconcile(b.local)
        self.assertIsNone(a.get("dead"))
        for node in (a, b):
            self.assertEqual(node.get("newer").incarnation, 2)
            self.assertEqual(node.get("older").incarnation, 2)
        self.assertEqual(a.table.digests, b.table.digests)

    async def test_a_peer_that_knows_nobody_is_told_in_pages(self):
        """One message with 13,000 records was above what a link carries."""
        a, b = (
            Membership(
                make_settings(n), self.table, self.network.links(n), seeded_rng(n)
            )
            for n in "ab"
        )
        for number in range(4_000):
            name = f"vm-{number:05d}"
            member = Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop")
            a.apply(Update(name, 1, MemberState.ALIVE, member))
        sizes = []
        request = a.exchange.links.request

        async def measured(peer, topic, payload, timeout):
            sizes.append(len(payload))
            return await request(peer, topic, payload, timeout)

        with mock.patch.object(a.exchange.links, "request", measured):
            await a.exchange.reconcile(b.local)
        self.assertEqual(a.table.digests, b.table.digests)
        self.assertLess(max(sizes), 2 * PAGE_BYTES)
