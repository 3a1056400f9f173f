import asyncio

from papayabay_core.exceptions import SettingsError
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.detector import wait_event
from papayabay_daemon._internal.membership.packets import (
    Kind,
    Packet,
    Sealer,
    Update,
    encode_full,
)
from tests.lib.cluster_fakes import (
    BOUND_SECONDS,
    make_settings,
    seeded_rng,
    wait_for_condition,
)
from tests.unit.daemon.membership_support import ClusterTestCase


class LifecycleTest(ClusterTestCase):
    """Members that join, leave, die, are paused or send invalid packets."""

    async def test_joins_announces_leaves_and_dies(self):
        a, b, c, d = await self.start_many("abcd")
        d.announce("shop", 4)
        await wait_for_condition(lambda: a.upstreams("shop"), a.on_change)
        self.assertEqual(a.get("d").slots, 4)
        await d.leave()
        for node in (a, b, c):
            await wait_for_condition(
                lambda n=node: not n.upstreams("shop"), node.on_change
            )
        self.assertEqual(a.get("d").state, MemberState.LEAVING)
        await self.crash("d")
        await self.all_see((a, b, c), 3)
        await self.crash("c")
        await self.all_see((a, b), 2)

    async def test_lost_link_triggers_a_probe(self):
        """A member whose link broke was not probed before its turn."""
        a, b = await self.start_many("ab")
        probed = asyncio.Event()
        b.gossip.receive = lambda packet, address: probed.set()
        a.detector.start_period = lambda group: None
        b.detector.start_period = lambda group: None
        probed.clear()
        a.note_link_lost("b")
        await asyncio.wait_for(probed.wait(), BOUND_SECONDS)

    async def test_live_daemon_that_was_declared_dead_refutes(self):
        """A paused daemon stayed dead for all others after it resumed.

        The others had declared it dead during the pause, and dead members
        were not probed. Cause: it never learned that it was declared dead.
        """
        a, b, c = await self.start_many("abc")
        b.announce("shop", 4)
        await wait_for_condition(lambda: a.upstreams("shop"), a.on_change)
        before = b.local.incarnation
        for node in (a, c):
            node.apply(Update("b", before, MemberState.DEAD))
        self.assertIsNone(a.get("b"))
        await wait_for_condition(lambda: a.upstreams("shop"), a.on_change)
        self.assertGreater(b.local.incarnation, before)
        self.assertGreaterEqual(b.refutations, 1)

    async def test_pause_of_a_daemon_declares_no_other_one_dead(self):
        """After a pause, a daemon declared all others dead.

        Its timers ran out during the pause, while the answers lay unread in
        its socket. Cause: the time of its own pause counted as time without
        an answer.
        """
        clock = PausingClock()
        node = Membership(
            make_settings("a", suspicion_ms=1_000),
            self.table,
            self.network.links("a"),
            seeded_rng("a"),
            clock,
        )
        other = await self.start("b")
        node.apply(Update("b", other.local.incarnation, MemberState.ALIVE, other.local))
        node.apply(Update("b", other.local.incarnation, MemberState.SUSPECT))
        clock.skip += 30.0
        node.detector.handle_pause()
        node.detector.expire_suspicions()
        self.assertIsNotNone(node.get("b"))
        self.assertEqual(node.detector.pauses, 1)
        clock.skip += 30.0
        node.detector.expire_suspicions()
        self.assertIsNone(node.get("b"))

    async def test_wait_event_keeps_a_cancellation_that_comes_with_the_event(self):
        """A daemon that was asked to stop went on probing forever.

        The cancellation came in the same iteration of the event loop as the
        awaited event. Cause: `asyncio.wait_for` of Python 3.11 dropped it.
        """
        event = asyncio.Event()
        waiting = asyncio.create_task(wait_event(event, BOUND_SECONDS))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        event.set()
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting

    async def test_packets_that_are_not_authentic_change_nothing(self):
        a, _ = await self.start_many("ab")
        settings = make_settings("b")
        cluster = settings.cluster.model_copy(update={"secret": "another-secret"})
        dead = Member("b", 1 << 62, "127.0.0.1", 1, 1, 1, "d1", "r1", "shop")
        forged = Packet(Kind.PING, 1, "b", 1 << 62, 99, "a")
        offers = []
        a.on_newer_configuration(lambda *offer: offers.append(offer))
        strays = a.gossip.strays
        for datagram in (
            b"\x01garbage" * 30,
            Sealer(cluster).seal(forged, [encode_full(dead)]),
            a.gossip.sealer.seal(forged, [encode_full(dead)])[:-1],
        ):
            a.gossip.datagram_received(datagram, ("127.0.0.1", 9))
        self.assertEqual(a.gossip.strays, strays + 3)
        self.assertEqual(a.upstreams("shop"), [])
        self.assertEqual(offers, [])

    async def test_host_names_are_rejected(self):
        settings = make_settings("a")
        vm = settings.vm.model_copy(update={"host": "vm-1.example"})
        invalid = settings.model_copy(update={"vm": vm})
        links = self.network.links("a")
        with self.assertRaisesRegex(SettingsError, "vm.host.*not an IP address"):
            Membership(invalid, self.table, links, seeded_rng("a"))


class PausingClock:
    """The clock of the event loop, plus simulated pauses."""

    def __init__(self):
        self.skip = 0.0

    def __call__(self):
        return asyncio.get_running_loop().time() + self.skip
