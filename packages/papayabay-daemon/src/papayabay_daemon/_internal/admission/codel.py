"""Controlled delay with adaptive last-in, first-out."""

from papayabay_daemon._internal.admission.fifo import FifoScheme


class CoDel(FifoScheme):
    """Drops what waited too long; serves the newest while a line stands.

    Nichols and Jacobson, "Controlling Queue Delay", ACM Queue 2012, in the
    form for servers of Maurer, "Fail at Scale", ACM Queue 2015: a call may
    wait for the interval if the line was empty within the last interval,
    else only for the target. Target and interval are the policy's
    `queue_target_ms` and `queue_max_ms`.
    """

    def __init__(self, control):
        super().__init__(control)
        self.empty_at = float("-inf")

    def enter(self, waiting, now):
        """Queue a call, after dropping what waited too long."""
        if not self.queue.size:
            self.empty_at = now
        self.drop(now)
        super().enter(waiting, now)

    def next_call(self, now):
        """Take the newest call while a line stands, else the oldest."""
        self.drop(now)
        return self.queue.pop(newest=self.standing(now))

    def granted(self, waited, now):
        """Note whether the line ran empty."""
        if not self.queue.size:
            self.empty_at = now

    def standing(self, now):
        interval = self.control.inputs.settings.queue_max_ms / 1_000
        return now - self.empty_at > interval

    def drop(self, now):
        settings = self.control.inputs.settings
        standing = self.standing(now)
        allowed_ms = settings.queue_target_ms if standing else settings.queue_max_ms
        cutoff = now - allowed_ms / 1_000
        oldest = self.queue.peek()
        while oldest is not None and oldest.arrived_at < cutoff:
            self.control.refuse_overloaded(oldest, now)
            oldest = self.queue.peek()
