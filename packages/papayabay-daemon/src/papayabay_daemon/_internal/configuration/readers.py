"""Selection of the members that read the store for a failure domain."""

from collections import Counter
from itertools import filterfalse

import logbook

from papayabay_daemon._internal.membership.seeds import pick_by_rendezvous

PURPOSE = "configuration-reader"
RENEW_SECONDS = 1.0
"""Shortest time between two selections of the readers."""
ISOLATION_PERIODS = 1.5
"""Gossip periods without an answer to a probe after which a daemon reads the
store itself. As long as it has contact with any member, it gets an answer in
each period, and the answer carries the version."""
RETRY_SECONDS = 5.0
"""Time after which a member that the store turned away may be selected again
in place of a reader. It grows with the failure domain, so that an outage of
the store causes few reads of each domain at any size."""
RETRY_SECONDS_PER_MEMBER = 0.5
MAX_SUBSTITUTES = 8
"""Members of a failure domain that read at once in place of its readers. It
keeps the reads in an outage far below the rate that the store accepts."""
FULL_WAIT_READERS = 6
"""Readers of the fleet from which each waits for changes as long as the store
allows. Fewer wait shorter, so that one of them gets an answer, or misses it,
at least each sixth of that time."""
log = logbook.Logger("papayabay.configuration")


class Readers:
    """Selects the readers among the live members.

    Readers that the store turns away, while it may serve others, stay readers
    and keep trying; other members, the substitutes, read in addition. Two
    daemons may differ in their selection for a while; an additional reader
    does no harm.

    Parameters
    ----------
    members : Membership
    count : int
        Readers per failure domain.
    clock : callable
    period : float
        Seconds of a gossip period.
    """

    def __init__(self, members, count, clock, period):
        self.members = members
        self.count = count
        self.isolation_timeout = period * ISOLATION_PERIODS
        self.clock = clock
        self.live = None
        self.lost = frozenset()
        self.lost_at = 0.0
        self.picked_at = 0.0
        self.picked = []
        self.domains = []
        self.total = 1
        self.first = None
        self.is_substitute = False

    def current(self):
        """Return the readers of the own failure domain.

        They are selected again only after the members have changed, and not
        more often than each `RENEW_SECONDS`, or at once after a member has
        lost the store or reaches it again.
        """
        live = self.members.live()
        lost = self.members.without_store()
        now = self.clock()
        recent = now - self.picked_at < RENEW_SECONDS
        changed = live is not self.live and not recent
        if self.live is None or changed or lost is not self.lost:
            self.live = live
            self.lost = lost
            self.picked_at = now
            sizes = Counter(member.failure_domain for member in live)
            self.domains = sorted(sizes)
            self.total = sum(min(size, self.count) for size in sizes.values())
            self.first = self.pick_first(live)
            self.select()
        return self.picked

    def select(self):
        """Select the readers of the own domain, and log a change of role."""
        regular = self.pick(self.live)
        substitutes = []
        if any(map(self.has_lost_store, regular)):
            substitutes = self.pick_substitutes()
        self.picked = regular + [one for one in substitutes if one not in regular]
        local = self.members.local
        is_substitute = local in substitutes and local not in regular
        if is_substitute != self.is_substitute:
            self.is_substitute = is_substitute
            self.log_role([member.name for member in regular])

    def pick_substitutes(self):
        """Return the members that read in addition to the regular readers.

        Their number grows with that of the members that the store is known
        not to answer, as each attempt may take a second to fail.
        """
        members = self.domain_members(self.live)
        served = list(filterfalse(self.has_lost_store, members))
        wanted = max(self.count, min(len(members) - len(served), MAX_SUBSTITUTES))
        return pick_by_rendezvous(served, PURPOSE, wanted)

    def log_role(self, regular):
        """Log that this daemon begins or ends to read for others."""
        if self.is_substitute:
            log.notice(
                "reading the configuration store, as it does not answer all "
                "readers of the failure domain: {}",
                ", ".join(regular),
            )
        else:
            log.notice("leaving the configuration store to its readers again")

    def has_lost_store(self, member):
        """Return whether the store did not answer a member's last read."""
        if member is self.members.local:
            return self.members.store_lost
        return member.name in self.lost

    def pick(self, live):
        """Return the readers of the own domain among some members."""
        return pick_by_rendezvous(self.domain_members(live), PURPOSE, self.count)

    def pick_first(self, live):
        """Return the fleet's first reader, from the first failure domain."""
        first = self.domains[0]
        members = [member for member in live if member.failure_domain == first]
        served = list(filterfalse(self.has_lost_store, members))
        (picked,) = pick_by_rendezvous(served or members, PURPOSE, 1)
        return picked

    def record_access(self, answered):
        """Record whether the store answered a read of this daemon.

        The other members of the domain are notified of a change at once.
        """
        if not answered:
            self.lost_at = self.clock()
        self.set_store_lost(not answered)

    def set_store_lost(self, lost):
        """Set whether this daemon has lost the store, and tell the domain."""
        if lost == self.members.store_lost:
            return
        self.members.set_store_lost(lost)
        if self.live is not None:
            self.select()
        self.members.announce_version(self.others_of_domain())

    def expire_loss(self):
        """Let a daemon that does not read be selected again after a while."""
        if not self.members.store_lost:
            return
        retry = RETRY_SECONDS_PER_MEMBER * len(self.domain_members())
        if self.clock() - self.lost_at > max(RETRY_SECONDS, retry):
            self.set_store_lost(False)

    def domain_members(self, live=None):
        """Return the live members of the own failure domain."""
        domain = self.members.local.failure_domain
        members = self.members.live() if live is None else live
        return [member for member in members if member.failure_domain == domain]

    def followers(self):
        """Return the other members of the own domain that are no readers."""
        excluded = {member.name for member in self.current()}
        excluded.add(self.members.local.name)
        return list(
            filterfalse(lambda member: member.name in excluded, self.domain_members())
        )

    def others_of_domain(self):
        """Return the other live members of the own failure domain."""
        local = self.members.local
        return [member for member in self.domain_members() if member is not local]

    def must_read(self):
        """Return whether this daemon has to read the store itself.

        A daemon that is partitioned from all others, but not from the store,
        goes on serving callers. If it relied on the readers, it would route
        by a stale version until the partition heals, without any error in
        its log. Packets that only arrive are no contact: a daemon whose own
        packets are lost gets offers of versions, but can't request them.
        """
        return (
            self.is_reader()
            or self.members.seconds_since_contact() > self.isolation_timeout
        )

    def other_readers(self):
        """Return the readers of the own domain except this daemon."""
        local = self.members.local
        return [member for member in self.current() if member is not local]

    def others_of_fleet(self):
        """Return the readers of all failure domains except this daemon."""
        by_domain = {}
        for member in self.members.live():
            by_domain.setdefault(member.failure_domain, []).append(member)
        by_domain.pop(self.members.local.failure_domain, None)
        others = self.other_readers()
        for members in by_domain.values():
            others += pick_by_rendezvous(members, PURPOSE, self.count)
        return others

    def first_of_fleet(self):
        """Return the fleet's first reader, or None if it is this daemon."""
        self.current()
        return None if self.first is self.members.local else self.first

    def fleet_index(self):
        """Return the index of this daemon among all readers of the fleet.

        The first readers of all failure domains come before the second ones.
        An isolated daemon that is no reader comes after them all.
        """
        names = [member.name for member in self.current()]
        local = self.members.local
        index = names.index(local.name) if local.name in names else len(names)
        return index * len(self.domains) + self.domains.index(local.failure_domain)

    def wait_share(self, was_current):
        """Return for which share of the longest wait to wait for changes.

        A change ends the waits of all readers at the same time. If each then
        waited as long as any other, a store that stopped to answer would go
        unnoticed by all of them for that long. So the first waits differ.

        Parameters
        ----------
        was_current : bool
            Whether the last wait of this daemon ended without a change.
        """
        self.current()
        longest = min(1.0, self.total / FULL_WAIT_READERS)
        if was_current:
            return longest
        return longest * (self.fleet_index() % self.total + 1) / self.total

    def is_reader(self):
        """Return whether this daemon is a reader of its domain."""
        return any(member is self.members.local for member in self.current())
