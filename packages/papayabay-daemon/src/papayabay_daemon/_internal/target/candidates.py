"""Announcements of processes that are not known to run at the target."""

from collections import OrderedDict
from dataclasses import dataclass

from papayabay_daemon._internal.target.announcement import Announcement

MAX_CANDIDATES = 8
MIN_SPAN_SECONDS = 1.0
"""Time between two announcements of a process that no health answer confirms
or rejects, after which it is put in force. Announcements that were delayed
together arrive together."""


@dataclass(slots=True)
class Candidate:
    """A process whose announcements are held until it is verified.

    Attributes
    ----------
    announcement : Announcement
        Its newest one.
    first_at, last_at : float
        When its announcements arrived; `first_at` starts anew after a pause
        of one lease.
    is_due : bool
        Whether an announcement has arrived since its last verification.
    """

    announcement: Announcement
    first_at: float
    last_at: float
    is_due: bool = True

    @property
    def persists(self):
        """Whether it was announced again, and not merely twice at once."""
        return self.last_at - self.first_at >= MIN_SPAN_SECONDS

    @property
    def outlasts_lease(self):
        """Whether it goes on to be announced for longer than a lease.

        A process that has left sends no further announcements.
        """
        return self.last_at - self.first_at >= self.announcement.lease_ms / 1_000


class Candidates:
    """The candidates, by `Announcement.process`; the oldest are evicted."""

    def __init__(self):
        self.by_process = OrderedDict()

    def hold(self, announcement, moment):
        """Hold an announcement; return whether it is news."""
        process = announcement.process
        candidate = self.by_process.get(process)
        if candidate is None:
            self.by_process[process] = Candidate(announcement, moment, moment)
            if len(self.by_process) > MAX_CANDIDATES:
                self.by_process.popitem(last=False)
            return True
        if announcement.sequence <= candidate.announcement.sequence:
            return False
        if moment - candidate.last_at > announcement.lease_ms / 1_000:
            candidate.first_at = moment
        candidate.announcement = announcement
        candidate.last_at = moment
        candidate.is_due = True
        return True

    def due(self):
        """Return the candidates to verify, the one announced first first."""
        return [one for one in self.by_process.values() if one.is_due]

    def holds(self, candidate):
        """Return whether a candidate is still held."""
        process = candidate.announcement.process
        return self.by_process.get(process) is candidate

    def discard(self, process):
        """Stop holding a process."""
        self.by_process.pop(process, None)

    def named(self, incarnation, born_ms=0):
        """Return the processes of a name; any start time if `born_ms` is 0."""
        return [
            process
            for process in self.by_process
            if process[0] == incarnation and born_ms in (0, process[1])
        ]
