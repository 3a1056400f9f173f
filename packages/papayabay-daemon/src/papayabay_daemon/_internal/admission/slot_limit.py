"""Limit on concurrent calls: announced slots, cold-start ramp and back-off."""

from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.admission.slot_search import SlotSearch

DECREASE = 0.7
"""Factor applied to the calls in flight when the limit is decreased."""
DECREASE_PERIOD_S = 0.05
RECOVERY_S = 1.0
"""Time in which the limit grows from zero back to all slots."""
OVERLOAD_KINDS = frozenset({ErrorKind.TARGET_SHED, ErrorKind.TARGET_UNREACHABLE})


class SlotLimit:
    """The announced slots, ramped up on a cold start, lowered on shedding.

    Additive increase, multiplicative decrease: each shed or unreachable
    answer decreases the share of the slots that may be used, at most once per
    `DECREASE_PERIOD_S`, and the share grows back within `RECOVERY_S`.

    Attributes
    ----------
    warm_at : float
        End of the cold start.
    share : float
        Share of the slots that may be used; 1.0 unless calls were shed.
    warm_slots : int
        Calls that may run at once after the cold start with a share of 1.0.
    """

    def __init__(self, inputs):
        self.search = SlotSearch()
        self.announced = None
        self.share = 1.0
        self.share_updated_at = 0.0
        self.decreased_at = float("-inf")
        self.reconfigure(inputs)

    def reconfigure(self, inputs):
        """Apply a changed announcement or policy."""
        announced = (inputs.slots, inputs.announced_at)
        if announced != self.announced:
            self.announced = announced
            self.search.reset()
        self.searching = inputs.decisions.slot_search
        self.slots = max(1, inputs.slots)
        self.cold_share = inputs.settings.cold_share
        self.announced_at = inputs.announced_at
        ramped = inputs.decisions.cold_start_ramp
        self.cold_start_s = inputs.cold_start_ms / 1_000 if ramped else 0.0
        self.warm_at = self.announced_at + self.cold_start_s
        self.warm_slots = self.search.slots(self.slots)

    def current(self, now):
        """Return how many calls may run at once, at least 1."""
        if now >= self.warm_at and self.share >= 1.0:
            return self.warm_slots
        usable = self.warm_slots
        return max(1, int(usable * self.ramp(now) * self.recovered_share(now)))

    def finished(self, weight, queued, mean_s, now, work_time):
        """Record an answered call; see `SlotSearch.finished`.

        Trials are measured on the time at the host's usual speed: a host that
        slows down during one trial would make its share of the slots look bad.
        """
        if self.searching and now >= self.warm_at and self.share >= 1.0:
            self.search.finished(weight, queued, mean_s, work_time)
            self.warm_slots = self.search.slots(self.slots)

    def decrease(self, running, now):
        """Lower the limit after the target shed a call or was unreachable.

        Parameters
        ----------
        running : int
            Calls in flight at that moment. The limit is decreased from this
            number, since a target may announce more slots than it has.
        now : float
        """
        if now - self.decreased_at < DECREASE_PERIOD_S:
            return
        in_use = min(self.current(now), running)
        ramped = self.slots * self.ramp(now)
        self.share = min(1.0, DECREASE * in_use / ramped)
        self.share_updated_at = self.decreased_at = now

    def ramp(self, now):
        if now >= self.warm_at:
            return 1.0
        progress = max(0.0, now - self.announced_at) / self.cold_start_s
        return self.cold_share + (1.0 - self.cold_share) * progress

    def recovered_share(self, now):
        if self.share < 1.0:
            grown = self.share + (now - self.share_updated_at) / RECOVERY_S
            self.share = min(1.0, grown)
            self.share_updated_at = now
        return self.share
