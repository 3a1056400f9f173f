"""How many calls the target can run at once, and how fast it takes them."""

from papayabay_daemon._internal.admission.host_speed import HostSpeed
from papayabay_daemon._internal.admission.rate_limit import RateLimit
from papayabay_daemon._internal.admission.service_times import ServiceTimes
from papayabay_daemon._internal.admission.slot_limit import (
    OVERLOAD_KINDS,
    SlotLimit,
)


class Capacity:
    """Slots, rate limit, service times and host speed of one target.

    Parameters
    ----------
    inputs : AdmissionInputs

    Attributes
    ----------
    times : ServiceTimes
    host_speed : HostSpeed
    slot_limit : SlotLimit
    rate_limit : RateLimit
    """

    def __init__(self, inputs):
        self.times = ServiceTimes()
        self.host_speed = HostSpeed(inputs.corrects_slowdown)
        self.slot_limit = SlotLimit(inputs)
        self.rate_limit = RateLimit(inputs)

    def reconfigure(self, inputs):
        """Apply a changed policy or announcement."""
        self.slot_limit.reconfigure(inputs)
        self.rate_limit.reconfigure(inputs)
        self.host_speed.reconfigure(inputs.corrects_slowdown, inputs.clock())

    def usable_slots(self, now):
        """Return how many calls may run at once, by slots and rate limit."""
        limit, rate_limit = self.slot_limit, self.rate_limit
        # The usual case without a further call: this is asked several times
        # for each call of the target.
        if now >= limit.warm_at and limit.share >= 1.0:
            slots = limit.warm_slots
        else:
            slots = limit.current(now)
        if rate_limit.rate is None:
            return slots
        return rate_limit.usable_slots(slots, self.times.overall.mean)

    def call_interval(self, limit):
        """Return the mean seconds between two calls that get a slot.

        Parameters
        ----------
        limit : int
            Calls that may run at once.
        """
        by_slots = self.times.overall.mean * self.host_speed.slowdown / limit
        if self.rate_limit.rate is None:
            return by_slots
        return max(by_slots, self.rate_limit.call_interval())

    def record_end(self, call, answer, elapsed, in_flight, queued, now, work_time):
        """Record an ended call.

        Parameters
        ----------
        call : Call
        answer : Answer or None
            None if the call was cancelled.
        elapsed : float
            Seconds of work.
        in_flight : int
            Calls that are still running.
        queued : bool
            Whether other calls are queued for its slot.
        now, work_time : float
        """
        times, limit = self.times, self.slot_limit
        times.record(call.path_key, elapsed, answer)
        if answer is None:
            return
        if answer.kind is None:
            if queued or limit.search.started_at is not None:
                weight = times.relative(call.path_key)
                limit.finished(weight, queued, times.overall.mean, now, work_time)
        elif answer.kind in OVERLOAD_KINDS:
            limit.decrease(in_flight + 1, now)
