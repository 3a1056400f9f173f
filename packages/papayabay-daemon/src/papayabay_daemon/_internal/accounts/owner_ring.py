"""Which daemons keep the limits of accounts: a consistent hash ring."""

import asyncio
import hashlib
from bisect import bisect_left
from dataclasses import dataclass

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.interfaces import Member, MemberState

RENEW_SECONDS = 0.1
"""Time between two looks at the members."""
HOLD_SECONDS = 10.0
"""How long the place of a dead member is kept free. Cut off rather than dead,
it goes on granting tokens to those on its side."""
SETTLE_SECONDS = 0.5
MIN_SETTLE_SECONDS = 0.4
MAX_SETTLE_SECONDS = 3.0
"""A new process relies on its ring once that has not grown for some time, or
contains the seeds of the store."""
MIN_SEEDS = 3


@dataclass(frozen=True, slots=True)
class Place:
    """One member's place on the ring.

    Attributes
    ----------
    member : Member
    is_free : bool
        Whether the member is dead and nobody has taken its place yet.
    """

    member: Member
    is_free: bool


def hash_position(text):
    """Return where a text lies on the ring."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class OwnerRing:
    """The members in the order of their hashes.

    Members that leave give up their places at once, as they grant nothing
    from then on. Those of the dead stay free for a while, so that a member
    that was only cut off and its successor don't both grant the same tokens.
    After that, each side of a partition grants the share of it that it sees.

    Parameters
    ----------
    members : Membership
        Besides `Members`: `lost_since`, `lost_count`, `listed_seed_count`.
    clock : callable
        Seconds.

    Attributes
    ----------
    version : int
        Raised with each change of the ring.
    shrunk_at : float
        When a place was last given up.
    settled_at : float or None
        Since when the ring of this process may be relied on.
    lost : int
        Members that were lost, as far as this daemon knows.
    """

    def __init__(self, members, clock=now):
        self.members = members
        self.clock = clock
        self.started_at = clock()
        self.grown_at = self.started_at
        self.shrunk_at = self.started_at
        self.settled_at = None
        self.live = None
        self.held = []
        self.version = 0
        self.hashes = {}
        self.positions = []
        self.places = {}
        self.alive = 1
        self.lost = 0
        self.reported_lost = 0
        self.reported_at = float("-inf")

    async def run(self):
        """Follow the members until cancelled."""
        while True:
            self.refresh()
            await asyncio.sleep(RENEW_SECONDS)

    def refresh(self):
        """Make the ring anew when members have changed."""
        moment = self.clock()
        live = self.members.live()
        held = self.members.lost_since(moment - HOLD_SECONDS)
        if live is not self.live or held != self.held:
            self.live, self.held = live, held
            self.make(moment)
        self.lost = self.members.lost_count()
        self.note_settled(moment)

    def note_lost(self, count):
        """Note how many members a peer knows to be lost.

        A process that started after they were lost never met them, and would
        take the members on its side of a partition for all.
        """
        moment = self.clock()
        if count >= self.reported_lost or self.is_report_old(moment):
            self.reported_lost = count
            self.reported_at = moment

    def is_report_old(self, moment):
        """Return whether the reported losses are outdated."""
        return moment - self.reported_at > HOLD_SECONDS

    @property
    def share(self):
        """Part of all members known that are alive or have held places."""
        lost = self.lost
        if not self.is_report_old(self.clock()):
            lost = max(lost, self.reported_lost)
        absent = max(0, lost - len(self.held))
        return self.alive / (self.alive + absent)

    def make(self, moment):
        """Make the ring of the members that are alive or held a place for."""
        before = self.places.keys()
        self.places = self.make_places(self.live, self.held)
        self.positions = sorted(self.places)
        self.version += 1
        if self.places.keys() - before:
            self.grown_at = moment
        if before - self.places.keys():
            self.shrunk_at = moment

    def note_settled(self, moment):
        """Note whether the ring of a new process may be relied on by now."""
        if self.settled_at is not None:
            return
        if self.may_rely_on_ring(moment):
            self.settled_at = moment

    def may_rely_on_ring(self, moment):
        """Return whether the ring holds about all members by now."""
        age = moment - self.started_at
        if age >= MAX_SETTLE_SECONDS or self.members.listed_seed_count() >= MIN_SEEDS:
            return True
        is_still = moment - self.grown_at >= SETTLE_SECONDS
        return is_still and age >= MIN_SETTLE_SECONDS

    def make_places(self, live, held):
        """Return the members by position."""
        alive = [m for m in live if m.state is not MemberState.LEAVING]
        self.alive = max(1, len(alive))
        places = [Place(member, False) for member in alive]
        places += [Place(member, True) for member in held]
        names = {place.member.name for place in places}
        self.hashes = {
            name: self.hashes.get(name) or hash_position(name) for name in names
        }
        return {self.hashes[place.member.name]: place for place in places}

    def owner_at(self, position):
        """Return the `Place` that a position falls to, or None without any."""
        if not self.positions:
            return None
        index = bisect_left(self.positions, position) % len(self.positions)
        return self.places[self.positions[index]]

    def falls_here(self, position):
        """Return whether a position falls to this daemon."""
        place = self.owner_at(position)
        return place is not None and place.member is self.members.local
