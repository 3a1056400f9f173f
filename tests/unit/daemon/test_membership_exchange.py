from unittest import mock

from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.exchange import (
    DIGESTS_REQUEST,
    GROUP,
    GROUP_BUCKETS,
    GROUPS,
    PAGE_BYTES,
    PAIR,
    RECORDS_REQUEST,
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
    """Reconciliation and full transfer of member tables."""

    async def test_reconcile_transfers_only_the_difference(self):
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

    async def test_last_page_of_a_list_is_not_gossiped_on(self):
        """A daemon that joined 13,000 others gossiped the last 28 of them on.

        Its packets had three times their normal size for over a minute. The
        list comes in pages, of which the last one is short. Cause: each page
        was judged by its own length.
        """
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded_rng("b")
        )
        x, y = (
            Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop") for name in "xy"
        )
        middle = bytes((0, 7)) + encode_full(x)
        last = BUCKETS.to_bytes(2, "big") + encode_full(y)
        self.assertEqual(b.exchange.apply_page(middle, 0), 7)
        self.assertEqual(b.exchange.apply_page(last, 7), BUCKETS)
        self.assertEqual(len(b.live()), 3)
        self.assertEqual(len(b.gossip.updates), 0)

    async def test_one_reconcile_exchanges_all_differences(self):
        """After a partition, daemons lacked most upstreams for minutes.

        Two sides that each know 3,000 members have contact again. Cause: only
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

    async def test_reconcile_rejects_malformed_answers(self):
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded_rng("b")
        )
        digests = [digest ^ 1 for digest in b.exchange.bucket_digests(0)]
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

    async def test_malformed_requests_are_rejected(self):
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded_rng("b")
        )
        for request in (
            bytes((DIGESTS_REQUEST, 0)),
            bytes((RECORDS_REQUEST, 0)),
            bytes((RECORDS_REQUEST,)) + PAIR.pack(BUCKETS, 0),
            bytes((RECORDS_REQUEST,)) + PAIR.pack(0, 2) + bytes(4),
        ):
            with self.subTest(request), self.assertRaises(ProtocolError):
                await b.exchange.answer(request, "a")

    async def test_reconcile_transfers_deaths_and_newer_records(self):
        """Members died or restarted while two daemons were partitioned.

        Guards against taking a member that only one daemon knows for a new
        one: fingerprints alone don't show that it is dead on the other.
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

    async def test_records_for_an_empty_peer_are_sent_in_pages(self):
        """A message with 13,000 records exceeded the limit of a link."""
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

        async def measure(peer, topic, payload, timeout):
            sizes.append(len(payload))
            return await request(peer, topic, payload, timeout)

        with mock.patch.object(a.exchange.links, "request", measure):
            await a.exchange.reconcile(b.local)
        self.assertEqual(a.table.digests, b.table.digests)
        self.assertLess(max(sizes), 2 * PAGE_BYTES)
