"""Keeps the waits of the readers for changes of the store out of phase."""


class WaitSchedule:
    """When the next request for changes of a reader has to end.

    The readers share the events from which their waits count: a change, or
    the end of a wait, whether the store answered or not. Were a wait counted
    from the recovery after an unanswered request, readers that recover at
    different times would come into step, and a store that goes silent would
    then go unnoticed by all of them for a whole wait.

    Parameters
    ----------
    readers : Readers
    clock : callable
    max_wait : float
        Longest wait that the store allows, in seconds.

    Attributes
    ----------
    counts_from : float or None
        Time from which the next wait counts: the last change, or the
        scheduled or actual end of the last wait. None before the first wait.
    is_first : bool
        Whether the next wait is the first one after a change.
    """

    def __init__(self, readers, clock, max_wait):
        self.readers = readers
        self.clock = clock
        self.max_wait = max_wait
        self.counts_from = None
        self.is_first = True

    def reset(self):
        """Count the next wait from its own start."""
        self.counts_from = None
        self.is_first = True

    def record_change(self, known_since=None):
        """Count the next wait from a change, as all other readers do.

        Parameters
        ----------
        known_since : float or None
            When a peer first offered the new version; None for now.
        """
        self.counts_from = self.clock() if known_since is None else known_since
        self.is_first = True

    def record_unchanged(self):
        """Count the next wait from now, as the last one ended as scheduled."""
        self.counts_from = self.clock()

    def start_wait(self):
        """Schedule the next wait; return its share of the longest one."""
        now = self.clock()
        if self.counts_from is None:
            self.counts_from = now
        longest = self.readers.wait_share(was_current=True)
        share = self.readers.wait_share(was_current=not self.is_first)
        elapsed = (now - self.counts_from) / self.max_wait
        share = (share - elapsed) % longest or longest
        self.counts_from = now + share * self.max_wait
        self.is_first = False
        return share
