"""Which members of a failure domain read the store."""

from itertools import filterfalse

from papayabay_daemon._internal.membership.seeds import pick_by_rendezvous

PURPOSE = "configuration-reader"
RENEW_SECONDS = 1.0
SILENT_PERIODS = 1.5
"""Gossip periods without a packet after which a daemon reads for itself. One
that hears anybody gets an answer in each period, with the version in it."""


class Readers:
    """The readers of the own failure domain, as far as this daemon knows.

    Two daemons may differ for a while; one reader too many does no harm.

    Parameters
    ----------
    members : Members
    count : int
    clock : callable
    period : float
        Seconds of a gossip period.
    """

    def __init__(self, members, count, clock, period):
        self.members = members
        self.count = count
        self.isolation_timeout = period * SILENT_PERIODS
        self.clock = clock
        self.live = None
        self.picked_at = 0.0
        self.picked = []
        self.domains = []
        self.first = None

    def current(self):
        """Return the readers; picked anew only when members changed."""
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
        """Return the readers among the live members."""
        return pick_by_rendezvous(self.own(live), PURPOSE, self.count)

    def pick_first(self, live):
        """Return the first reader of the first failure domain."""
        first = self.domains[0]
        members = [member for member in live if member.failure_domain == first]
        (picked,) = pick_by_rendezvous(members, PURPOSE, 1)
        return picked

    def own(self, live=None):
        """Return the live members of the own failure domain."""
        domain = self.members.local.failure_domain
        members = self.members.live() if live is None else live
        return [member for member in members if member.failure_domain == domain]

    def followers(self):
        """Return the members of the own domain that hear from its readers."""
        told = {member.name for member in self.current()}
        told.add(self.members.local.name)
        return list(filterfalse(lambda member: member.name in told, self.own()))

    def must_read(self):
        """Return whether this daemon has to read the store itself.

        A daemon that is cut off from all others, and not from the store, goes
        on serving callers. Did it wait for its readers, it would route by an
        old version for as long as the cut lasts; its log would show no error.
        """
        return (
            self.include_local()
            or self.members.seconds_since_packet() > self.isolation_timeout
        )

    def others(self):
        """Return the readers of the own domain but this daemon."""
        local = self.members.local
        return [member for member in self.current() if member is not local]

    def first_of_fleet(self):
        """Return the first reader of all, or None if it is this daemon."""
        self.current()
        return None if self.first is self.members.local else self.first

    def turn(self):
        """Return the place of this daemon among all readers of the fleet.

        The first readers of all failure domains come before the second ones.
        One that reads without being a reader comes last.
        """
        names = [member.name for member in self.current()]
        local = self.members.local
        place = names.index(local.name) if local.name in names else len(names)
        return place * len(self.domains) + self.domains.index(local.failure_domain)

    def include_local(self):
        """Return whether this daemon is one of them."""
        return any(member is self.members.local for member in self.current())
