"""All known members, the rules by which news changes them, and indexes."""

import zlib
from collections import OrderedDict
from hashlib import blake2b

from papayabay_daemon._internal.interfaces import Member, MemberState

BUCKETS = 512
MEMBERS_MAX = 32_768
TOMBSTONES_MAX = 4_096
TOMBSTONE_SECONDS = 600.0


def bucket_of(name):
    """Return the bucket that a name belongs to, the same on every daemon."""
    return zlib.crc32(name.encode()) % BUCKETS


def fingerprint(member):
    """Return 32 bits over what two daemons have to agree on.

    Suspicion passes by itself and the dead are forgotten at different
    times, so neither is part of it.

    Not a CRC: these are combined by exclusive or, and a CRC is linear. Of
    names that differ in a few digits, different sets then have the same
    digest, and two daemons would never see that they differ.
    """
    leaving = member.state is MemberState.LEAVING
    text = f"{member.name} {member.incarnation} {leaving}".encode()
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big")


class MemberTable:
    """Members by name, by service and by bucket.

    Known members keep their object; its fields change in place.

    Parameters
    ----------
    local : Member
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
        """Return all that are not dead; one list until that changes."""
        if self.live_list is None:
            self.live_list = [
                member
                for member in self.members.values()
                if member.state is not MemberState.DEAD
            ]
        return self.live_list

    def upstreams(self, service):
        """Return who takes calls of a service; one list until it changes."""
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

    def apply(self, update, at):
        """Take in news of another member.

        Parameters
        ----------
        update : Update
        at : float
            Time now, for the tombstones.

        Returns
        -------
        Member or None
            The member when this was news.
        """
        known = self.members.get(update.name)
        if known is None:
            return self.add(update)
        if not self.wins(update, known):
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
        self.bury_or_revive(known, at)
        return known

    def wins(self, update, known):
        """Return whether news is newer than what is known.

        The short form has no announcement. Taken as suspicion of an
        incarnation whose full record is not known, it would freeze the old
        announcement under the new number: calls would go on to a service
        that the member has left. So it has to wait for the full record.
        """
        if update.incarnation == known.incarnation:
            return update.state > known.state
        if update.incarnation < known.incarnation:
            return False
        return update.member is not None or update.state >= MemberState.LEAVING

    def only_suspects(self, update, known):
        """Return whether just suspicion is new; no index depends on it."""
        return (
            update.state is MemberState.SUSPECT
            and update.incarnation == known.incarnation
        )

    def add(self, update):
        """Enter a member that was unknown, unless it is dead or too much."""
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
        """Take over all fields of a newer full record."""
        for name in Member.__slots__:
            setattr(known, name, getattr(source, name))

    def add_to_indexes(self, member):
        """Add a member to the indexes that its present state belongs in."""
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
        """Take a member out of all indexes before it changes."""
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

    def bury_or_revive(self, member, at):
        """Keep the tombstones in step with a changed member."""
        self.tombstones.pop(member.name, None)
        if member.state is not MemberState.DEAD:
            return
        self.tombstones[member.name] = at
        while len(self.tombstones) > TOMBSTONES_MAX:
            self.forget(next(iter(self.tombstones)))

    def expire(self, at):
        """Forget the dead whose time is over."""
        while self.tombstones:
            name, died = next(iter(self.tombstones.items()))
            if at - died < TOMBSTONE_SECONDS:
                return
            self.forget(name)

    def forget(self, name):
        """Drop a dead member."""
        del self.tombstones[name]
        del self.members[name]
        del self.buckets[bucket_of(name)][name]
