"""What the class-blind schemes have in common."""

from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.admission.queues import FifoQueue

MAX_QUEUE = 10_000


class FifoScheme:
    """First come, first served, with a bounded line and no threshold."""

    def __init__(self, control):
        self.control = control
        self.queue = FifoQueue()

    @property
    def enforces_deadlines(self):
        """Whether lifetimes are regarded; a decision of the policy."""
        return self.control.inputs.decisions.deadlines

    def limit(self, now):
        """Return the announced slots, ramped and backed off."""
        return self.control.slot_limit.current(now)

    def refuses(self, call, now):
        """Refuse nobody before the line is looked at."""
        return False

    def enter(self, waiting, now):
        """Queue a call, or refuse it when the line is full."""
        if self.queue.size >= self.capacity(now):
            self.control.refuse_overloaded(waiting, now)
        else:
            self.queue.push(waiting)

    def capacity(self, now):
        """Return how many calls may wait."""
        return MAX_QUEUE

    def recheck_time(self, call, now):
        """Let a call wait until its life is over."""
        return call.expires_at

    def recheck(self, waiting, now):
        """Let it wait on, in line since another scheme was in force."""
        waiting.recheck_at = waiting.call.expires_at

    def next_call(self, now):
        """Take the oldest call."""
        return self.queue.pop()

    def granted(self, waited, now):
        """Do nothing."""

    def finished(self, elapsed, answer, now):
        """Do nothing."""

    def level(self, now):
        """Return that callers' daemons need refuse nobody."""
        return ADMIT_ALL
