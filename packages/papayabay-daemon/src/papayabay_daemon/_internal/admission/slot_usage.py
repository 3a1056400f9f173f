"""The share of the target's slot time that calls take."""


class SlotUsage:
    """Adds up how long how many slots were in use."""

    def __init__(self):
        self.in_flight = 0
        self.changed_at = 0.0
        self.taken_s = 0.0
        self.asked_at = 0.0

    def set_in_flight(self, in_flight, now):
        """Note that another number of slots is in use from now on."""
        self.taken_s += self.in_flight * (now - self.changed_at)
        self.in_flight = in_flight
        self.changed_at = now

    def utilization(self, limit, now):
        """Return the share of `limit` slots in use since last asked."""
        self.set_in_flight(self.in_flight, now)
        possible_s = limit * (now - self.asked_at)
        taken_s, self.taken_s = self.taken_s, 0.0
        self.asked_at = now
        return taken_s / possible_s if possible_s > 0.0 else 0.0
