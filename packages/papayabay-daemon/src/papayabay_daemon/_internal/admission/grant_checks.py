"""Counts grants and refusals that callers could object to."""

from papayabay_core.importance import Importance


class GrantChecks:
    """Compares each slot that is given with the calls that wait for one.

    It keeps its own count of them, so that a fault in the order of a queue
    shows.

    Parameters
    ----------
    counters : AdmissionCounters
    """

    def __init__(self, counters):
        self.counters = counters
        self.waiting = [0] * len(Importance)

    def record_waiting(self, call):
        """Record a call that waits for a slot."""
        self.waiting[call.importance] += 1

    def record_left(self, call):
        """Record a call that no longer waits."""
        self.waiting[call.importance] -= 1

    def check_grant(self, call):
        """Count an inversion if a more important call than this one waits."""
        self.counters.inversions += any(self.waiting[: call.importance])

    def check_refusal(self, has_room):
        """Count a refusal for overload if the target has room for a call."""
        self.counters.idle_refusals += has_room
