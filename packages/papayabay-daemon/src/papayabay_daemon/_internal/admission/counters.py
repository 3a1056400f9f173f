"""Counters of admission control."""

from collections import Counter
from dataclasses import dataclass, field, fields


@dataclass(slots=True)
class AdmissionCounters:
    """Counts since the start of the daemon.

    Attributes
    ----------
    admitted : Counter
        Calls given a slot, per importance class.
    refused : Counter
        Refusals per (importance class, error kind).
    displaced : int
        Queued calls refused in favour of one of higher priority.
    expired : int
        Calls whose deadline passed before they were run.
    cancelled : int
        Calls cancelled by their caller while queued.
    finished : int
        Slots released.
    finished_again : int
        Repeated releases of the same slot; they have no effect.
    inversions : int
        Slots given to a call while a more important one was waiting.
    idle_refusals : int
        Calls refused for overload of this target while it had a free slot.
    downstream_refused : int
        Calls refused because a downstream service on their path would refuse
        them.
    served_late : Counter
        Queued calls that got their slot too late to be answered when due, per
        importance class; counted with `queue_order = "due"`.
    """

    admitted: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    displaced: int = 0
    expired: int = 0
    cancelled: int = 0
    finished: int = 0
    finished_again: int = 0
    inversions: int = 0
    idle_refusals: int = 0
    downstream_refused: int = 0
    served_late: Counter = field(default_factory=Counter)

    def plain(self):
        """Return the counts as JSON values, by class and error kind."""
        counts = {entry.name: getattr(self, entry.name) for entry in fields(self)}
        counts["admitted"] = {
            importance.name.lower(): count
            for importance, count in self.admitted.items()
        }
        counts["served_late"] = {
            importance.name.lower(): count
            for importance, count in self.served_late.items()
        }
        counts["refused"] = {
            f"{importance.name.lower()}/{kind.name.lower()}": count
            for (importance, kind), count in self.refused.items()
        }
        return counts
