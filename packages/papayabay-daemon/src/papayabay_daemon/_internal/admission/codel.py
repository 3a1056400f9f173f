"""CoDel admission with adaptive last-in, first-out order."""

from papayabay_daemon._internal.admission.fifo import FifoScheme


class CoDel(FifoScheme):
    """Drops calls that waited too long; LIFO while a queue is standing.

    Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 2012, in the
    form for servers of Maurer, "Fail at Scale", ACM Queue 2015: a call may
    wait for the interval if the queue was empty within the last interval,
    else only for the target. Target and interval are the policy's
    `queue_target_ms` and `queue_max_ms`.
    """

    def __init__(self, control):
        super().__init__(control)
        self.empty_at = float("-inf")

    def enqueue(self, waiting, now):
        """Queue a call, after dropping those that waited too long."""
        if not self.queue.size:
            self.empty_at = now
        self.drop_overdue(now)
        super().enqueue(waiting, now)

    def next_call(self, now):
        """Remove the newest call of a standing queue, else the oldest."""
        self.drop_overdue(now)
        return self.queue.pop(newest=self.has_standing_queue(now))

    def granted(self, waited_s, now):
        """Record the time if the queue has become empty."""
        if not self.queue.size:
            self.empty_at = now

    def has_standing_queue(self, now):
        interval = self.control.inputs.settings.queue_max_ms / 1_000
        return now - self.empty_at > interval

    def drop_overdue(self, now):
        settings = self.control.inputs.settings
        standing = self.has_standing_queue(now)
        allowed_ms = settings.queue_target_ms if standing else settings.queue_max_ms
        cutoff = now - allowed_ms / 1_000
        oldest = self.queue.peek()
        while oldest is not None and oldest.arrived_at < cutoff:
            self.control.refuse_overloaded(oldest, now)
            oldest = self.queue.peek()
