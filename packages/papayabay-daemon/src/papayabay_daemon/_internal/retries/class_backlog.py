"""The refused requests of one service and class that were told a time."""

import math

TIME_SLOT_SECONDS = 0.1
"""Length of the time slots over which returning requests are distributed."""
RATE_AVERAGING_SLOTS = 10.0
"""Time constant of the mean number of admitted requests, in time slots."""
CLOSED_GROWTH = 0.5
"""Expected time until a class is admitted again, as a multiple of the time for
which it has not been: an overload that has lasted long is expected to last."""
MAX_TIME_SLOTS = 64


class ClassBacklog:
    """Counts admitted requests, and assigns refused ones to time slots.

    Parameters
    ----------
    now : float
        Seconds.

    Attributes
    ----------
    admitted_at : float
        When a request was last admitted; at first the time of creation.
    mean : float
        Mean number of requests admitted in a time slot.
    """

    __slots__ = ("admitted_at", "count", "mean", "reserved", "slot", "slots_seen")

    def __init__(self, now):
        self.admitted_at = now
        self.slot = int(now / TIME_SLOT_SECONDS)
        self.count = 0
        self.mean = 0.0
        self.slots_seen = 0
        self.reserved = {}

    def record_admitted(self, now):
        """Count a request that was admitted."""
        slot = int(now / TIME_SLOT_SECONDS)
        if slot != self.slot:
            self.end_slot(slot)
        self.count += 1
        self.admitted_at = now

    def end_slot(self, slot):
        """Include the slot that has ended, and empty ones since, in the mean.

        In the first slots the mean is that of all slots seen, so that it does
        not start from 0.
        """
        self.slots_seen = min(RATE_AVERAGING_SLOTS, self.slots_seen + 1)
        self.mean += (self.count - self.mean) / self.slots_seen
        self.mean *= math.exp((self.slot + 1 - slot) / RATE_AVERAGING_SLOTS)
        self.slot = slot
        self.count = 0

    def capacity(self, now):
        """Return how many requests may be told the same time slot."""
        slot = int(now / TIME_SLOT_SECONDS)
        if slot != self.slot:
            self.end_slot(slot)
        return max(1, round(self.mean))

    def assign(self, now, horizon):
        """Assign a refused request to the first time slot with capacity left.

        Parameters
        ----------
        now : float
        horizon : float
            Latest time to assign, seconds from now.

        Returns
        -------
        float or None
            Seconds until the request's time; None if the time slots before
            the horizon have no capacity left. The requests of one time slot
            are spread evenly over it.
        """
        capacity = self.capacity(now)
        opens_at = now + CLOSED_GROWTH * (now - self.admitted_at)
        first = int(opens_at / TIME_SLOT_SECONDS) + 1
        last = int((now + horizon) / TIME_SLOT_SECONDS)
        for slot in range(first, min(last, first + MAX_TIME_SLOTS)):
            reserved = self.reserved.get(slot, 0)
            if reserved < capacity:
                self.reserved[slot] = reserved + 1
                self.drop_past(now)
                return (slot + reserved / capacity) * TIME_SLOT_SECONDS - now
        return None

    def drop_past(self, now):
        """Forget time slots that have passed, once there are many."""
        if len(self.reserved) <= 2 * MAX_TIME_SLOTS:
            return
        current = int(now / TIME_SLOT_SECONDS)
        self.reserved = {
            slot: count for slot, count in self.reserved.items() if slot >= current
        }
