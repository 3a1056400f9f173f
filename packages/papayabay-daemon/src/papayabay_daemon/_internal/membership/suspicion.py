"""Silent members: how long they have to refute, and when they are dead."""

from dataclasses import dataclass

from papayabay_daemon._internal.interfaces import MemberState


@dataclass(slots=True)
class Suspicion:
    """When a silent member is declared dead, unless it refutes."""

    incarnation: int
    deadline: float


class Suspicions:
    """The members that are suspected, by name.

    Parameters
    ----------
    clock : callable
        Seconds.
    timeout : callable
        Returns the seconds that a suspect has now.
    """

    def __init__(self, clock, timeout):
        self.clock = clock
        self.timeout = timeout
        self.by_name = {}

    def __len__(self):
        return len(self.by_name)

    def names(self):
        """Return the names of all suspects."""
        return list(self.by_name)

    def watch(self, member):
        """Start the time after which a member is declared dead."""
        known = self.by_name.get(member.name)
        if known is not None and known.incarnation == member.incarnation:
            return
        deadline = self.clock() + self.timeout()
        self.by_name[member.name] = Suspicion(member.incarnation, deadline)

    def drop(self, name):
        """Suspect a member no longer."""
        self.by_name.pop(name, None)

    def changed(self, member):
        """Keep in step with a member's news."""
        if member.state is MemberState.SUSPECT:
            self.watch(member)
        else:
            self.drop(member.name)

    def start_over(self):
        """Give all suspects their whole time again."""
        deadline = self.clock() + self.timeout()
        for suspicion in self.by_name.values():
            suspicion.deadline = deadline

    def take_over(self):
        """Forget those whose time is over; return names and incarnations."""
        at = self.clock()
        over = [
            (name, suspicion.incarnation)
            for name, suspicion in self.by_name.items()
            if suspicion.deadline <= at
        ]
        for name, _ in over:
            del self.by_name[name]
        return over
