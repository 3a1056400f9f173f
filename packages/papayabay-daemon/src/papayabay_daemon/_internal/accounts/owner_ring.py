"""Consistent hash ring that maps the slots of rate limits to their owners."""

import asyncio
import hashlib
from bisect import bisect_left
from dataclasses import dataclass

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership.detector import wait_event

REFRESH_SECONDS = 0.1
"""Shortest interval of comparisons of the ring with the membership."""
RECHECK_SECONDS = 2.0
"""Interval of comparisons while nothing happens. They notice that a lost
member is forgotten, for which there is no event."""
RESERVATION_SECONDS = 10.0
"""How long the ring entry of a dead member is reserved. A member that is only
cut off goes on granting tokens on its side of the partition."""
SETTLE_SECONDS = 0.5
"""The ring of a new process has settled once it has not grown for so long."""
MIN_SETTLE_SECONDS = 0.4
"""Earliest time after the start at which that rule applies."""
MAX_SETTLE_SECONDS = 3.0
"""Time after the start at which the ring has settled in any case."""
MIN_SEEDS = 3
"""Number of seeds listed in the store with which it has settled at once."""


@dataclass(frozen=True, slots=True)
class RingEntry:
    """One member's entry on the ring.

    Attributes
    ----------
    member : Member
    is_reserved : bool
        Whether the member is dead and its slots have no new owner yet.
    """

    member: Member
    is_reserved: bool


def hash_position(text):
    """Return the position of a text on the ring."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class OwnerRing:
    """The members, ordered by their hashes; each owns the slots before it.

    The entry of a leaving member is removed at once, as it grants no more
    tokens. The entry of a dead member stays reserved for a while: it may only
    be cut off, and then it and its successor would grant the same tokens.
    After that, each side of a partition grants the share of a limit that
    corresponds to its share of the members.

    Parameters
    ----------
    members : Membership
        Besides `Members`: `lost_since`, `lost_count`, `listed_seed_count`.
    clock : callable
        Seconds.

    Attributes
    ----------
    version : int
        Incremented at each change of the ring.
    shrunk_at : float
        When an entry was last removed.
    settled_at : float or None
        When the ring of this process settled, that is, became complete
        enough to grant tokens by.
    lost_count : int
        Number of members that this daemon knows to be lost.
    changed : asyncio.Event
        Set when the record of a member has changed.
    """

    def __init__(self, members, clock=now):
        self.members = members
        self.clock = clock
        self.started_at = clock()
        self.grown_at = self.started_at
        self.shrunk_at = self.started_at
        self.settled_at = None
        self.live = None
        self.reserved = []
        self.version = 0
        self.position_of = {}
        self.positions = []
        self.entries = {}
        self.live_count = 1
        self.lost_count = 0
        self.reported_lost = 0
        self.reported_at = float("-inf")
        self.changed = asyncio.Event()

    def member_changed(self, member):
        """Cause a refresh after a change of the membership."""
        self.changed.set()

    async def run(self):
        """Keep the ring up to date with the membership until cancelled."""
        while True:
            self.changed.clear()
            self.refresh()
            await asyncio.sleep(REFRESH_SECONDS)
            if not self.awaits_deadline():
                await wait_event(self.changed, RECHECK_SECONDS)

    def awaits_deadline(self):
        """Return whether the ring may change without a change of a member.

        It settles by age after the start, unmet seeds count for a while, and
        a reserved entry expires.
        """
        if self.reserved or self.settled_at is None:
            return True
        return self.clock() - self.started_at < MAX_SETTLE_SECONDS

    def refresh(self):
        """Rebuild the ring if the members have changed."""
        moment = self.clock()
        live = self.members.live()
        reserved = self.members.lost_since(moment - RESERVATION_SECONDS)
        if live is not self.live or reserved != self.reserved:
            self.live, self.reserved = live, reserved
            self.rebuild(moment)
        self.lost_count = self.members.lost_count()
        self.update_settled(moment)

    def record_reported_loss(self, count):
        """Record the number of lost members that a peer reports.

        A process that started after members were lost has never seen them.
        Without the report, it would take the members on its side of a
        partition for all members.
        """
        if not count and not self.reported_lost:
            return
        moment = self.clock()
        if count >= self.reported_lost or self.is_report_stale(moment):
            self.reported_lost = count
            self.reported_at = moment

    def is_report_stale(self, moment):
        """Return whether the latest report of lost members has expired."""
        return moment - self.reported_at > RESERVATION_SECONDS

    @property
    def share(self):
        """Share of all known members that are alive or have a reserved entry.

        Below 1.0 once members are lost for longer than their entries are
        reserved; each slot then grants only this share of its limit.
        """
        lost = self.lost_count
        if not lost and not self.reported_lost:
            return 1.0
        if not self.is_report_stale(self.clock()):
            lost = max(lost, self.reported_lost)
        absent = max(0, lost - len(self.reserved))
        return self.live_count / (self.live_count + absent)

    def rebuild(self, moment):
        """Rebuild the ring from the live members and the reserved entries."""
        before = self.entries.keys()
        self.entries = self.build_entries(self.live, self.reserved)
        self.positions = sorted(self.entries)
        self.version += 1
        if self.entries.keys() - before:
            self.grown_at = moment
        if before - self.entries.keys():
            self.shrunk_at = moment

    def update_settled(self, moment):
        """Set `settled_at` once the ring has settled."""
        if self.settled_at is not None:
            return
        if self.has_settled(moment):
            self.settled_at = moment

    def has_settled(self, moment):
        """Return whether the ring of a new process is about complete."""
        age = moment - self.started_at
        if age >= MAX_SETTLE_SECONDS or self.members.listed_seed_count() >= MIN_SEEDS:
            return True
        is_stable = moment - self.grown_at >= SETTLE_SECONDS
        return is_stable and age >= MIN_SETTLE_SECONDS

    def build_entries(self, live, reserved):
        """Return the `RingEntry` of each member by position."""
        active = [m for m in live if m.state is not MemberState.LEAVING]
        self.live_count = max(1, len(active))
        entries = [RingEntry(member, False) for member in active]
        entries += [RingEntry(member, True) for member in reserved]
        names = {entry.member.name for entry in entries}
        self.position_of = {
            name: self.position_of.get(name) or hash_position(name) for name in names
        }
        return {self.position_of[entry.member.name]: entry for entry in entries}

    def owner_at(self, position):
        """Return the entry that owns a position; None on an empty ring."""
        if not self.positions:
            return None
        index = bisect_left(self.positions, position) % len(self.positions)
        return self.entries[self.positions[index]]

    def is_local(self, position):
        """Return whether this daemon owns a position."""
        entry = self.owner_at(position)
        return entry is not None and entry.member is self.members.local
