import math
import random
import unittest

from papayabay_core.exceptions import ProtocolError
from papayabay_core.settings import ClusterSettings
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership.incarnations import incarnation_above
from papayabay_daemon._internal.membership.packets import (
    PACKET_BYTES,
    Kind,
    Packet,
    Sealer,
    Update,
    decode_updates,
    encode_full,
    encode_short,
)
from papayabay_daemon._internal.membership.table import (
    BUCKETS,
    TOMBSTONE_SECONDS,
    MemberTable,
)
from papayabay_daemon._internal.membership.update_queue import (
    ByteBudget,
    UpdateQueue,
    transmit_limit,
)

ALIVE, SUSPECT, LEAVING, DEAD = MemberState


def make_member(name, incarnation=1, service="shop", slots=4):
    return Member(name, incarnation, "127.0.0.1", 1, 2, 3, "d1", "r1", service, slots)


def full_update(member, state=ALIVE):
    member.state = state
    return Update(member.name, member.incarnation, state, member)


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(make_member("self", service=""))
        self.table.apply(full_update(make_member("a", 5)), 0.0)

    def apply(self, incarnation, state):
        return self.table.apply(Update("a", incarnation, state), 0.0)

    def test_higher_state_wins_at_one_incarnation(self):
        for state in (SUSPECT, LEAVING, DEAD):
            self.assertIsNotNone(self.apply(5, state))
            self.assertIsNone(self.apply(5, state))
        for state in (ALIVE, SUSPECT, LEAVING):
            self.assertIsNone(self.apply(5, state))
        self.assertIsNone(self.table.get("a"))

    def test_any_order_of_updates_ends_in_the_same_state(self):
        """Gossip reorders updates; all daemons must end in the same state."""
        updates = [(i, s) for i in (4, 5, 6, 7) for s in (ALIVE, SUSPECT, DEAD)]
        shuffler = random.Random(4)
        for _ in range(200):
            shuffler.shuffle(updates)
            table = MemberTable(make_member("self"))
            table.apply(full_update(make_member("a", 3)), 0.0)
            for incarnation, state in updates:
                table.apply(full_update(make_member("a", incarnation), state), 0.0)
            known = table.members["a"]
            self.assertEqual((known.incarnation, known.state), (7, DEAD))

    def test_refutation_revives_a_dead_member(self):
        self.apply(5, DEAD)
        self.assertIsNone(self.table.apply(full_update(make_member("a", 5)), 0.0))
        self.assertIsNotNone(self.table.apply(full_update(make_member("a", 6)), 0.0))
        self.assertEqual(self.table.get("a").state, ALIVE)
        self.assertFalse(self.table.tombstones)

    def test_suspicion_of_an_unknown_incarnation_is_ignored(self):
        """Calls were still sent to a service that a member no longer served.

        The member announced another service under incarnation 6. A suspicion
        of 6 in the short form arrived first and was applied, so that the full
        record of 6 was ignored. Cause: the short form raised the incarnation
        without the announcement that belongs to it.
        """
        self.assertIsNone(self.apply(6, SUSPECT))
        self.table.apply(full_update(make_member("a", 6, service="bank")), 0.0)
        self.assertEqual(self.table.upstreams("shop"), [])
        self.assertEqual([m.name for m in self.table.upstreams("bank")], ["a"])

    def test_upstreams_are_the_same_list_until_they_change(self):
        first = self.table.upstreams("shop")
        self.table.apply(full_update(make_member("b", service="bank")), 0.0)
        self.apply(5, SUSPECT)
        self.assertIs(self.table.upstreams("shop"), first)
        self.apply(5, LEAVING)
        self.assertEqual(self.table.upstreams("shop"), [])
        self.assertEqual([m.name for m in first], ["a"])

    def test_tombstones_expire(self):
        self.apply(5, DEAD)
        self.table.expire(TOMBSTONE_SECONDS - 1)
        self.assertIn("a", self.table.members)
        self.table.expire(TOMBSTONE_SECONDS)
        self.assertNotIn("a", self.table.members)
        self.assertIsNone(self.apply(5, DEAD))

    def test_digests_depend_on_the_records_only(self):
        other = MemberTable(make_member("self", service=""))
        for incarnation, state in ((3, ALIVE), (4, DEAD), (5, ALIVE), (5, SUSPECT)):
            other.apply(full_update(make_member("a", incarnation), state), 0.0)
        self.assertEqual(self.table.digests, other.digests)
        self.apply(5, LEAVING)
        self.assertNotEqual(self.table.digests, other.digests)

    def test_incarnation_above_skips_the_range_of_a_later_start(self):
        own, older, newer = 9 << 20, (8 << 20) + 7, (10 << 20) + 7
        self.assertEqual(incarnation_above(own, older), own + 1)
        self.assertEqual(incarnation_above(own, own + 4), own + 5)
        self.assertEqual(incarnation_above(own, newer), 11 << 20)


class PacketTest(unittest.TestCase):
    def setUp(self):
        self.sealer = Sealer(ClusterSettings(name="one", secret="first-secret"))
        self.packet = Packet(Kind.PING, 7, "a", 1 << 60, 42, "b")

    def test_round_trip(self):
        member = make_member("c", 9, slots=17)
        member.state = LEAVING
        dead = make_member("d", 3)
        dead.state = DEAD
        updates = (encode_full(member), encode_short(dead))
        packet = self.sealer.open(self.sealer.seal(self.packet, updates))
        self.assertEqual(packet.updates[0].member, member)
        self.assertEqual(packet.updates[1], Update("d", 3, DEAD))
        packet.updates = []
        self.assertEqual(packet, self.packet)
        self.packet.store_lost = True
        self.assertTrue(self.sealer.open(self.sealer.seal(self.packet)).store_lost)

    def test_invalid_datagrams_are_rejected(self):
        datagram = self.sealer.seal(self.packet, [encode_full(make_member("c"))])
        shuffler = random.Random(1)
        strays = [datagram[:size] for size in range(len(datagram))]
        strays += [shuffler.randbytes(size) for size in range(0, 1_400, 7)]
        for index in range(len(datagram)):
            strays.append(
                datagram[:index]
                + bytes((datagram[index] ^ 0x10,))
                + datagram[index + 1 :]
            )
        for name, secret in (("one", "other-secret"), ("two", "first-secret")):
            other = Sealer(ClusterSettings(name=name, secret=secret))
            strays.append(other.seal(self.packet))
        for stray in strays:
            self.assertRaises(ProtocolError, self.sealer.open, stray)

    def test_truncated_records_are_rejected(self):
        record = encode_full(make_member("c"))
        for size in range(1, len(record)):
            with self.assertRaises(ProtocolError):
                decode_updates(record[:size])

    def test_updates_stay_within_packet_and_budget(self):
        queue, budget = UpdateQueue(), ByteBudget(0.0, rate=100, burst=2_000)
        dead = {f"vm-{n}": make_member(f"vm-{n}") for n in range(650)}
        for name in dead:
            queue.add(name)
        sent = set()
        while len(sent) < 650:
            room = self.sealer.room(self.packet)
            updates = queue.next_updates(
                room, lambda name: encode_short(dead[name]), 13_000
            )
            datagram = self.sealer.seal(self.packet, updates)
            self.assertLessEqual(len(datagram), PACKET_BYTES)
            names = {u.name for u in self.sealer.open(datagram).updates}
            self.assertFalse(names & sent and len(sent | names) < 650)
            sent |= names
        budget.spend(2_500)
        self.assertLess(budget.available(1.0), 1)
        self.assertEqual(budget.available(16.0), 1_100 - 100 * 1 + 100)

    def test_updates_are_transmitted_a_limited_number_of_times(self):
        queue = UpdateQueue()
        queue.add("a")
        sent = 0
        while queue.next_updates(1_000, lambda name: b"x", 13_000):
            sent += 1
        self.assertEqual(sent, 21)
        self.assertEqual(len(queue), 0)

    def test_hardly_any_member_misses_an_update(self):
        for members in (3, 20, 100, 1_000, 13_000, 32_768):
            with self.subTest(members):
                missed = members * math.exp(-transmit_limit(members))
                self.assertLess(missed, 2e-5)

    def test_bucket_count_fits_into_two_bytes(self):
        self.assertLess(BUCKETS, 65_536)
