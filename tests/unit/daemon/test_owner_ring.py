"""Tests of when the ring of limit owners follows the membership."""

import asyncio
import unittest

from papayabay_daemon._internal.accounts import owner_ring
from papayabay_daemon._internal.accounts.owner_ring import OwnerRing
from papayabay_daemon._internal.interfaces import Member
from tests.lib.virtual_time import run_in_virtual_time


def member(name):
    return Member(name, 1, "127.0.0.1", 1, 2, 3, "zone", "region")


class Members:
    """A membership that counts how often it is read."""

    def __init__(self):
        self.local = member("a")
        self.members = [self.local]
        self.died_at = {}
        self.reads = 0

    def live(self):
        self.reads += 1
        return self.members

    def lost_since(self, time):
        return [member(name) for name, died in self.died_at.items() if died > time]

    def lost_count(self):
        return len(self.died_at)

    def listed_seed_count(self):
        return owner_ring.MIN_SEEDS


class OwnerRingTests(unittest.TestCase):
    def setUp(self):
        self.members = Members()

    async def start(self):
        """Start the ring, and let it settle."""
        loop = asyncio.get_running_loop()
        self.ring = OwnerRing(self.members, loop.time)
        self.task = asyncio.ensure_future(self.ring.run())
        await asyncio.sleep(owner_ring.MAX_SETTLE_SECONDS + 1.0)

    def test_change_of_a_member_is_followed_at_once(self):
        """Guards against tokens granted by a ring that lacks a new member."""

        async def run():
            await self.start()
            self.members.members = [*self.members.members, member("b")]
            self.ring.member_changed(member("b"))
            await asyncio.sleep(owner_ring.REFRESH_SECONDS * 1.01)
            return len(self.ring.entries)

        self.assertEqual(run_in_virtual_time(run), 2)

    def test_reserved_entry_expires_in_time(self):
        """Guards against slots without an owner after a member's death.

        No event tells that the reservation of its entry has ended.
        """

        async def run():
            await self.start()
            self.members.died_at["b"] = asyncio.get_running_loop().time()
            self.ring.member_changed(member("b"))
            await asyncio.sleep(owner_ring.RESERVATION_SECONDS - 0.01)
            before = len(self.ring.entries)
            await asyncio.sleep(owner_ring.REFRESH_SECONDS * 1.2)
            return before, len(self.ring.entries)

        self.assertEqual(run_in_virtual_time(run), (2, 1))

    def test_unchanged_members_are_rarely_read(self):
        """Guards against wake-ups of idle daemons."""

        async def run():
            await self.start()
            before = self.members.reads
            await asyncio.sleep(60.0)
            return self.members.reads - before

        self.assertLessEqual(run_in_virtual_time(run), 31)
