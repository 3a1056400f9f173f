"""Suspected members and the deadlines by which they have to refute."""

from dataclasses import dataclass

from papayabay_daemon._internal.interfaces import MemberState


@dataclass(slots=True)
class Suspicion:
    """When a suspected incarnation is declared dead, unless it refutes."""

    incarnation: int
    deadline: float


class Suspicions:
    """The suspected members, by name.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    timeout : callable
        Returns the seconds that a new suspect has to refute.
    """

    def __init__(self, clock, timeout):
        self.clock = clock
        self.timeout = timeout
        self.by_name = {}

    def __len__(self):
        return len(self.by_name)

    def names(self):
        """Return the names of all suspected members."""
        return list(self.by_name)

    def add(self, member):
        """Start the timeout of a member, unless it is running already."""
        known = self.by_name.get(member.name)
        if known is not None and known.incarnation == member.incarnation:
            return
        deadline = self.clock() + self.timeout()
        self.by_name[member.name] = Suspicion(member.incarnation, deadline)

    def discard(self, name):
        """Remove the suspicion of a member, if there is one."""
        self.by_name.pop(name, None)

    def update(self, member):
        """Add or remove the suspicion of a member whose record changed."""
        if member.state is MemberState.SUSPECT:
            self.add(member)
        else:
            self.discard(member.name)

    def restart_timeouts(self):
        """Give all suspected members the full timeout again."""
        deadline = self.clock() + self.timeout()
        for suspicion in self.by_name.values():
            suspicion.deadline = deadline

    def pop_expired(self):
        """Remove expired suspicions; return their names and incarnations."""
        now = self.clock()
        expired = [
            (name, suspicion.incarnation)
            for name, suspicion in self.by_name.items()
            if suspicion.deadline <= now
        ]
        for name, _ in expired:
            del self.by_name[name]
        return expired
