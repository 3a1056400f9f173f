"""Selection of the members that read the store for a failure domain."""

from itertools import filterfalse

from papayabay_daemon._internal.membership.seeds import pick_by_rendezvous

PURPOSE = "configuration-reader"
RENEW_SECONDS = 1.0
"""Shortest time between two selections of the readers."""
ISOLATION_PERIODS = 1.5
"""Gossip periods without an answer to a probe after which a daemon reads the
store itself. As long as it has contact with any member, it gets an answer in
each period, and the answer carries the version."""


class Readers:
    """Selects the readers among the live members.

    Two daemons may differ in their selection for a while; an additional
    reader does no harm.

    Parameters
    ----------
    members : Members
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
        self.picked_at = 0.0
        self.picked = []
        self.domains = []
        self.first = None

    def current(self):
        """Return the readers of the own failure domain.

        They are selected again only after the members have changed, and not
        more often than each `RENEW_SECONDS`.
        """
        live = self.members.live()
        now = self.clock()
        recent = now - self.picked_at < RENEW_SECONDS
        if self.live is None or (live is not self.live and not recent):
            self.live = live
            self.picked_at = now
            self.picked = self.pick(live)
            self.domains = sorted({member.failure_domain for member in live})
            self.first = self.pick_first(live)
        return self.picked

    def pick(self, live):
        """Return the own domain's readers among the live members."""
        return pick_by_rendezvous(self.domain_members(live), PURPOSE, self.count)

    def pick_first(self, live):
        """Return the fleet's first reader, from the first failure domain."""
        first = self.domains[0]
        members = [member for member in live if member.failure_domain == first]
        (picked,) = pick_by_rendezvous(members, PURPOSE, 1)
        return picked

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

    def is_reader(self):
        """Return whether this daemon is a reader of its domain."""
        return any(member is self.members.local for member in self.current())
