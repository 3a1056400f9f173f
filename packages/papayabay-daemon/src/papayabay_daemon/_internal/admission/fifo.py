"""Base class of the schemes that ignore importance classes."""

from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.admission.queues import FifoQueue

MAX_QUEUE = 10_000


class FifoScheme:
    """First in, first out, with a bounded queue and no threshold."""

    def __init__(self, control):
        self.control = control
        self.queue = FifoQueue()

    @property
    def enforces_deadlines(self):
        """Whether the policy enables deadlines."""
        return self.control.inputs.decisions.deadlines

    def limit(self, now):
        """Return the announced slots, as reduced by `SlotLimit`."""
        return self.control.capacity.usable_slots(now)

    def refuses(self, call, now):
        """Return False: no call is refused on arrival."""
        return False

    def enqueue(self, waiting, now):
        """Queue a call, or refuse it if the queue is full."""
        if self.queue.size >= self.capacity(now):
            self.control.refuse_overloaded(waiting, now)
        else:
            self.queue.push(waiting)

    def capacity(self, now):
        """Return how many calls may be queued."""
        return MAX_QUEUE

    def recheck_time(self, call, now):
        """Return the call's deadline: it may wait until then."""
        return call.expires_at

    def recheck(self, waiting, now):
        """Let the call wait until its deadline.

        This call was queued by another scheme, which set an earlier time.
        """
        waiting.recheck_at = waiting.call.expires_at

    def next_call(self, now):
        """Remove and return the oldest call, or None."""
        return self.queue.pop()

    def granted(self, waited_s, now):
        """Do nothing."""

    def finished(self, elapsed, answer, now):
        """Do nothing."""

    def level(self, now):
        """Return a threshold that admits all levels."""
        return ADMIT_ALL
