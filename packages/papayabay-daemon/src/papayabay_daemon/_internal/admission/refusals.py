"""Calls that are refused on arrival, and the errors of all refusals."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import whole_ms
from papayabay_daemon._internal.admission.downstream import DownstreamLevels
from papayabay_daemon._internal.admission.overload import OverloadLog
from papayabay_daemon._internal.retries.retry_delays import RetryDelays


class Refusals:
    """Refuses calls for the control of one target.

    Parameters
    ----------
    control : AdmissionControl
    inputs : AdmissionInputs

    Attributes
    ----------
    downstream : DownstreamLevels
    overload : OverloadLog
    retry_delays : RetryDelays
    """

    def __init__(self, control, inputs):
        self.control = control
        self.counters = control.counters
        self.capacity = control.capacity
        self.downstream = DownstreamLevels()
        self.overload = OverloadLog(control.read_clock)
        self.retry_delays = RetryDelays()
        self.reconfigure(inputs)

    def reconfigure(self, inputs):
        """Apply a changed policy.

        With `queue_order = "due"` a call of a request that has begun is not
        refused because a downstream service would refuse it: the request was
        admitted at its entry, and refusing it halfway wastes the work that
        was done for it.
        """
        self.random = inputs.random
        self.tells_retry_after = inputs.decisions.retry_after
        self.refuses_early = inputs.decisions.upstream_refusal
        self.spares_begun = inputs.decisions.queue_order == "due"

    def check_arrival(self, call, now):
        """Refuse a call that arrives, or do nothing.

        Raises
        ------
        CallError
        """
        control = self.control
        if control.leaving:
            raise self.error(call, ErrorKind.LEAVING)
        if control.enforces_deadlines:
            error = self.deadline_error(call, now)
            if error is not None:
                raise error
        heeds_downstream = self.refuses_early and not (self.spares_begun and call.depth)
        if heeds_downstream and self.downstream.refuses(call, now):
            self.counters.downstream_refused += 1
            raise self.overload_error(call, now)
        if control.scheme.refuses(call, now):
            control.checks.check_refusal(control.has_room(now))
            self.overload.refused(call.importance, now)
            raise self.overload_error(call, now)

    def deadline_error(self, call, now):
        """Return the error if a call can't finish in time, else None."""
        remaining = call.expires_at - now
        if remaining <= 0:
            return self.expiry_error(call)
        times = self.capacity.times.paths.get(call.path_key)
        if times is None or remaining - call.rest_s >= times.low:
            return None
        if times.takes_probe(now):
            return None
        return self.error(call, ErrorKind.LIFETIME_TOO_SHORT)

    def expiry_error(self, call):
        """Count a call whose deadline passed, and return its error."""
        self.counters.expired += 1
        return self.error(call, ErrorKind.EXPIRED_UNSENT)

    def overload_error(self, call, now):
        """Return the error of a call refused for overload."""
        self.retry_delays.record_refused(call.importance)
        retry_after_ms = 0
        if self.tells_retry_after:
            retry_after_ms = self.retry_delays.delay_ms(call.importance, self.random)
        rate_limit = self.capacity.rate_limit
        if retry_after_ms and rate_limit.rate is not None:
            delay_s = rate_limit.retry_delay(self.control.scheme.queue.size, now)
            retry_after_ms = max(retry_after_ms, whole_ms(delay_s))
        return self.error(call, ErrorKind.OVERLOADED, retry_after_ms)

    def error(self, call, kind, retry_after_ms=0):
        """Count a refusal and return its error."""
        self.counters.refused[call.importance, kind] += 1
        return CallError(kind, retry_after_ms=retry_after_ms)
