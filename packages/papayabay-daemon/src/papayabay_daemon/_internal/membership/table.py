"""The table of all known members, its merge rules and its indexes."""

import zlib
from collections import OrderedDict
from hashlib import blake2b

from papayabay_daemon._internal.interfaces import Member, MemberState

BUCKETS = 512
"""Parts of the table that daemons compare by digest."""
MEMBERS_MAX = 32_768
TOMBSTONES_MAX = 4_096
TOMBSTONE_SECONDS = 600.0
"""How long a dead member is remembered."""


def bucket_of(name):
    """Return the bucket of a name, which is the same on every daemon."""
    return zlib.crc32(name.encode()) % BUCKETS


def fingerprint(member):
    """Return a 32-bit hash of what two daemons have to agree on.

    Suspicions are temporary, and dead members are forgotten at different
    times, so neither is part of the hash.

    A CRC is not used, because it is linear and fingerprints are combined by
    exclusive or. Different sets of names that differ in a few digits would
    then have the same digest, and two daemons would never detect that their
    tables differ.
    """
    leaving = member.state is MemberState.LEAVING
    text = f"{member.name} {member.incarnation} {leaving}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big")


class MemberTable:
    """Members by name, by service and by bucket.

    The object of a known member stays the same; its fields change in place.

    Parameters
    ----------
    local : Member
        This daemon.

    Attributes
    ----------
    members : dict of str to Member
        All known members by name, dead ones included.
    digests : list of int
        The fingerprints of each bucket, combined by exclusive or.
    tombstones : OrderedDict of str to float
        Time at which each dead member was declared dead, oldest first.
    refused : int
        New members that were dropped because the table was full.
    """

    def __init__(self, local):
        self.local = local
        self.members = {local.name: local}
        self.buckets = [{} for _ in range(BUCKETS)]
        self.digests = [0] * BUCKETS
        self.services = {}
        self.service_lists = {}
        self.tombstones = OrderedDict()
        self.live_list = None
        self.refused = 0
        self.add_to_indexes(local)

    def get(self, name):
        """Return a member that is not dead, or None."""
        member = self.members.get(name)
        if member is None or member.state is MemberState.DEAD:
            return None
        return member

    def live(self):
        """Return all members that are not dead.

        The same list object is returned until the members change.
        """
        if self.live_list is None:
            self.live_list = [
                member
                for member in self.members.values()
                if member.state is not MemberState.DEAD
            ]
        return self.live_list

    def upstreams(self, service):
        """Return the members that accept calls of a service.

        The same list object is returned until the members change.
        """
        found = self.service_lists.get(service)
        if found is None:
            names = self.services.get(service)
            if not names:
                return []
            found = [self.members[name] for name in sorted(names)]
            self.service_lists[service] = found
        return found

    def live_count(self):
        """Return the number of members that are not dead."""
        return len(self.members) - len(self.tombstones)

    def apply(self, update, now):
        """Apply an update of another member, if it wins.

        Parameters
        ----------
        update : Update
        now : float
            Current time, kept with a tombstone.

        Returns
        -------
        Member or None
            The member if the update changed it.
        """
        known = self.members.get(update.name)
        if known is None:
            return self.add(update)
        if not self.supersedes(update, known):
            return None
        if self.only_suspects(update, known):
            known.state = update.state
            return known
        self.remove_from_indexes(known)
        if update.member is not None:
            self.copy(update.member, known)
        known.incarnation = update.incarnation
        known.state = update.state
        self.add_to_indexes(known)
        self.update_tombstone(known, now)
        return known

    def supersedes(self, update, known):
        """Return whether an update is newer than the known record.

        The short form does not say which service the member announces. If a
        suspicion of a newer incarnation were applied before that
        incarnation's full record, the old announcement would stay under the
        new number, and calls would still go to a service that the member no
        longer serves. So such a suspicion is ignored until the full record
        has arrived.
        """
        if update.incarnation == known.incarnation:
            return update.state > known.state
        if update.incarnation < known.incarnation:
            return False
        return update.member is not None or update.state >= MemberState.LEAVING

    def only_suspects(self, update, known):
        """Return whether only suspicion is new, on which no index depends."""
        return (
            update.state is MemberState.SUSPECT
            and update.incarnation == known.incarnation
        )

    def add(self, update):
        """Add a new member, unless it is dead or the table is full."""
        member = update.member
        if member is None or update.state is MemberState.DEAD:
            return None
        if len(self.members) >= MEMBERS_MAX:
            self.refused += 1
            return None
        self.members[member.name] = member
        self.add_to_indexes(member)
        return member

    def copy(self, source, known):
        """Copy all fields of a newer full record to the known member."""
        for name in Member.__slots__:
            setattr(known, name, getattr(source, name))

    def add_to_indexes(self, member):
        """Add a member to the indexes for its current state."""
        self.live_list = None
        bucket = bucket_of(member.name)
        self.buckets[bucket][member.name] = member
        if member.state is MemberState.DEAD:
            return
        self.digests[bucket] ^= fingerprint(member)
        if member.service and member.state < MemberState.LEAVING:
            self.services.setdefault(member.service, set()).add(member.name)
            self.service_lists.pop(member.service, None)

    def remove_from_indexes(self, member):
        """Remove a member from all indexes before it changes."""
        self.live_list = None
        if member.state is MemberState.DEAD:
            return
        self.digests[bucket_of(member.name)] ^= fingerprint(member)
        names = self.services.get(member.service)
        if names is None:
            return
        names.discard(member.name)
        self.service_lists.pop(member.service, None)
        if not names:
            del self.services[member.service]

    def change_local(self, **fields):
        """Change this daemon's own record."""
        self.remove_from_indexes(self.local)
        for name, value in fields.items():
            setattr(self.local, name, value)
        self.add_to_indexes(self.local)

    def update_tombstone(self, member, now):
        """Add the tombstone of a dead member, or remove that of a live one."""
        self.tombstones.pop(member.name, None)
        if member.state is not MemberState.DEAD:
            return
        self.tombstones[member.name] = now
        while len(self.tombstones) > TOMBSTONES_MAX:
            self.evict(next(iter(self.tombstones)))

    def expire(self, now):
        """Evict the dead members whose tombstones have expired."""
        while self.tombstones:
            name, died = next(iter(self.tombstones.items()))
            if now - died < TOMBSTONE_SECONDS:
                return
            self.evict(name)

    def evict(self, name):
        """Remove a dead member."""
        del self.tombstones[name]
        del self.members[name]
        del self.buckets[bucket_of(name)][name]
