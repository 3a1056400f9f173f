"""Utilization of the target's slots."""


class SlotUse:
    """Accumulates the slot time in use, in slot seconds."""

    def __init__(self):
        self.in_flight = 0
        self.changed_at = 0.0
        self.used_s = 0.0
        self.sampled_at = 0.0

    def set_in_flight(self, in_flight, now):
        """Set the number of slots in use from now on."""
        self.used_s += self.in_flight * (now - self.changed_at)
        self.in_flight = in_flight
        self.changed_at = now

    def share(self, limit, now):
        """Return the share of `limit` slots in use since the previous call."""
        self.set_in_flight(self.in_flight, now)
        available_s = limit * (now - self.sampled_at)
        used_s, self.used_s = self.used_s, 0.0
        self.sampled_at = now
        return used_s / available_s if available_s > 0.0 else 0.0
