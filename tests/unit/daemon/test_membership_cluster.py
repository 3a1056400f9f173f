import asyncio
import contextlib
import unittest
from unittest import mock

from papayabay_core.exceptions import ProtocolError, SettingsError
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.detector import wait_event
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
    Kind,
    Packet,
    Sealer,
    Update,
    encode_full,
)
from papayabay_daemon._internal.membership.seeds import PREFIX
from papayabay_daemon._internal.membership.table import BUCKETS
from tests.lib.cluster_fakes import (
    BOUND_SECONDS,
    LinkNetwork,
    MemoryTable,
    make_settings,
    seeded,
    until,
)


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """Daemons' memberships on real loopback sockets."""

    def setUp(self):
        self.table = MemoryTable()
        self.network = LinkNetwork()
        self.tasks = {}

    async def asyncTearDown(self):
        for task in list(self.tasks.values()):
            await self.stop_task(task)

    async def stop_task(self, task):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def start(self, name, domain="d1", gossip_port=0, **timing):
        settings = make_settings(name, domain, **timing)
        vm = settings.vm.model_copy(update={"gossip_port": gossip_port})
        settings = settings.model_copy(update={"vm": vm})
        links = self.network.links(name)
        node = Membership(settings, self.table, links, seeded(name))
        node.set_ports(1, 2)
        await node.start()
        self.tasks[name] = asyncio.create_task(node.run())
        return node

    async def crash(self, name):
        self.network.cut.add(name)
        await self.stop_task(self.tasks.pop(name))

    async def start_many(self, names):
        nodes = [await self.start(name) for name in names]
        await self.all_see(nodes, len(nodes))
        return nodes

    async def all_see(self, nodes, count):
        for node in nodes:
            await until(lambda n=node: len(n.live()) == count, node.on_change)

    async def test_joins_announces_leaves_and_dies(self):
        a, b, c, d = await self.start_many("abcd")
        d.announce("shop", 4)
        await until(lambda: a.upstreams("shop"), a.on_change)
        self.assertEqual(a.get("d").slots, 4)
        await d.leave()
        for node in (a, b, c):
            await until(lambda n=node: not n.upstreams("shop"), node.on_change)
        self.assertEqual(a.get("d").state, MemberState.LEAVING)
        await self.crash("d")
        await self.all_see((a, b, c), 3)
        await self.crash("c")
        await self.all_see((a, b), 2)

    async def test_lost_link_probes_at_once(self):
        """A member whose link broke was probed only in its turn."""
        a, b = await self.start_many("ab")
        probed = asyncio.Event()
        b.gossip.receive = lambda packet, address: probed.set()
        a.detector.start_period = lambda group: None
        b.detector.start_period = lambda group: None
        probed.clear()
        a.note_link_lost("b")
        await asyncio.wait_for(probed.wait(), BOUND_SECONDS)

    async def test_who_restarts_while_the_store_is_away_is_found_at_once(self):
        """A restarted daemon knew nobody for the length of a store outage.

        Its process is killed while the store is away, and starts again at
        the same address. It can't read the seeds; those who lost it ask one
        of the dead in ten periods, and it may be the last one's turn.
        """
        a, b, c = await self.start_many("abc")
        port = b.local.gossip_port
        await self.crash("b")
        await self.crash("c")
        await self.all_see((a,), 1)
        self.table.down = True
        self.network.cut.discard("b")
        begun = a.detector.periods
        b = await self.start("b", gossip_port=port)
        await self.all_see((a, b), 2)
        self.assertLess(a.detector.periods - begun, 8)

    async def test_a_daemon_called_dead_refutes(self):
        """A paused daemon stayed dead for all others after it resumed.

        The others declared it dead while it stood still; nobody probes the
        dead. Cause: it never heard of its own death.
        """
        a, b, c = await self.start_many("abc")
        b.announce("shop", 4)
        await until(lambda: a.upstreams("shop"), a.on_change)
        before = b.local.incarnation
        for node in (a, c):
            node.apply(Update("b", before, MemberState.DEAD))
        self.assertIsNone(a.get("b"))
        await until(lambda: a.upstreams("shop"), a.on_change)
        self.assertGreater(b.local.incarnation, before)
        self.assertGreaterEqual(b.refutations, 1)

    async def test_own_pause_kills_nobody(self):
        """After a pause a daemon declared every other one dead.

        Its timers ran out while it stood still, with the answers unread in
        its socket. Cause: time that passed for nobody was held against the
        others.
        """
        clock = PausingClock()
        node = Membership(
            make_settings("a", suspicion_ms=1_000),
            self.table,
            self.network.links("a"),
            seeded("a"),
            clock,
        )
        other = await self.start("b")
        node.apply(Update("b", other.local.incarnation, MemberState.ALIVE, other.local))
        node.apply(Update("b", other.local.incarnation, MemberState.SUSPECT))
        clock.skip += 30.0
        node.detector.resumed()
        node.detector.conclude()
        self.assertIsNotNone(node.get("b"))
        self.assertEqual(node.detector.pauses, 1)
        clock.skip += 30.0
        node.detector.conclude()
        self.assertIsNone(node.get("b"))

    async def test_ends_when_cancelled_as_an_answer_comes(self):
        """A daemon that was told to end went on probing for ever.

        The cancellation came in the turn of the loop in which the awaited
        event was set. Cause: `asyncio.wait_for` of Python 3.11 dropped it.
        """
        event = asyncio.Event()
        waiting = asyncio.create_task(wait_event(event, BOUND_SECONDS))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        event.set()
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting

    async def test_strays_change_nothing(self):
        a, _ = await self.start_many("ab")
        settings = make_settings("b")
        cluster = settings.cluster.model_copy(update={"secret": "another-secret"})
        dead = Member("b", 1 << 62, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop")
        forged = Packet(Kind.PING, 1, "b", 1 << 62, 99, "a")
        heard = []
        a.on_newer_configuration(lambda *news: heard.append(news))
        strays = a.gossip.strays
        for datagram in (
            b"\x01garbage" * 30,
            Sealer(cluster).seal(forged, [encode_full(dead)]),
            a.gossip.sealer.seal(forged, [encode_full(dead)])[:-1],
        ):
            a.gossip.datagram_received(datagram, ("127.0.0.1", 9))
        self.assertEqual(a.gossip.strays, strays + 3)
        self.assertEqual(a.upstreams("shop"), [])
        self.assertEqual(heard, [])

    async def test_seeds_while_the_store_is_down_then_back(self):
        self.table.down = True
        a = await self.start("a")
        b = await self.start("b", domain="d2")
        failed = asyncio.Event()
        scan = self.table.scan

        async def scan_and_tell(*args, **kwargs):
            failed.set()
            return await scan(*args, **kwargs)

        self.table.scan = scan_and_tell
        await asyncio.wait_for(failed.wait(), 10)
        self.assertEqual(len(a.live()), 1)
        self.table.down = False
        await self.all_see((a, b), 2)
        self.assertTrue(a.status()["store_reachable"])

    async def test_racing_seed_writes_lose_nobody(self):
        """One of two daemons that started together was never found.

        Both read an empty row and wrote it; the later write replaced the
        earlier. Cause: a write without a condition.
        """
        both = asyncio.Barrier(2)

        async def meet():
            if both.n_waiting:
                self.table.before_write = None
            await both.wait()

        self.table.before_write = meet
        nodes = [
            Membership(make_settings(n), self.table, self.network.links(n), seeded(n))
            for n in "ab"
        ]
        for port, node in enumerate(nodes, start=1):
            node.table.change_local(gossip_port=port, link_port=port)
        await asyncio.gather(*(node.seeds.keep() for node in nodes))
        names = [entry[0] for entry in self.table.rows[PREFIX + "d1"].value["seeds"]]
        self.assertEqual(sorted(names), ["a", "b"])
        self.assertEqual(sum(node.seeds.conflicts for node in nodes), 1)

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

    async def test_a_joiner_does_not_gossip_the_whole_list(self):
        """News of a death waited behind thousands of old records.

        A daemon that had just joined gossiped on each record of the list
        that it was given. Cause: the list was taken in as news.
        """
        a, b = (
            Membership(make_settings(n), self.table, self.network.links(n), seeded(n))
            for n in "ab"
        )
        for number in range(200):
            member = Member(f"x{number}", 1, "127.0.0.1", 1, 1, 1, "d1", "r1")
            a.apply(Update(member.name, 1, MemberState.ALIVE, member))
        a.gossip.news = type(a.gossip.news)()
        await b.exchange.join(a.local)
        self.assertEqual(len(b.live()), 202)
        self.assertEqual(len(b.gossip.news), 0)
        self.assertEqual(list(a.gossip.news.level_of), ["b"])

    async def test_the_last_page_of_a_list_is_no_news(self):
        """A daemon that joined 13,000 gossiped the last 28 of them.

        Its packets had three times their quiet size for over a minute.
        Sequence: the list comes in pages, the last one is short. Cause:
        each page was judged by its own length.
        """
        b = Membership(
            make_settings("b"), self.table, self.network.links("b"), seeded("b")
        )
        x, y = (
            Member(name, 1, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop") for name in "xy"
        )
        middle = bytes((0, 7)) + encode_full(x)
        last = BUCKETS.to_bytes(2, "big") + encode_full(y)
        self.assertEqual(b.exchange.take_page(middle, 0), 7)
        self.assertEqual(b.exchange.take_page(last, 7), BUCKETS)
        self.assertEqual(len(b.live()), 3)
        self.assertEqual(len(b.gossip.news), 0)

    async def test_one_reconcile_evens_out_everything(self):
        """After regions were apart, daemons lacked most upstreams for minutes.

        Sequence: two parts that each know 3,000 members meet again. Cause:
        one page of differences was fetched each half minute.
        """
        a, b = (
            Membership(make_settings(n), self.table, self.network.links(n), seeded(n))
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
            make_settings("b"), self.table, self.network.links("b"), seeded("b")
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
            make_settings("b"), self.table, self.network.links("b"), seeded("b")
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
            Membership(make_settings(n), self.table, self.network.links(n), seeded(n))
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

    async def test_host_names_are_refused(self):
        settings = make_settings("a")
        vm = settings.vm.model_copy(update={"host": "vm-1.example"})
        wrong = settings.model_copy(update={"vm": vm})
        links = self.network.links("a")
        with self.assertRaisesRegex(SettingsError, "vm.host.*not an IP address"):
            Membership(wrong, self.table, links, seeded("a"))


class PausingClock:
    """The loop's clock with added pauses."""

    def __init__(self):
        self.skip = 0.0

    def __call__(self):
        return asyncio.get_running_loop().time() + self.skip
