"""Checks that a withdrawn target soon gets no new work."""

from papayabay_bench.history.intervals import fault_intervals
from papayabay_bench.history.records import Arrival
from papayabay_bench.history.violations import Violation, ordered_trace

RULE = "leaving"
LEAVING_FAULTS = ("leave", "drain")


def violations(history, limits):
    """Yield the first late call at each target that left."""
    arrivals = history.of_type(Arrival)
    for interval in fault_intervals(history, *LEAVING_FAULTS):
        limit = interval.start + limits.deregistration_seconds
        late = [
            arrival
            for arrival in arrivals
            if arrival.target == interval.subject
            and limit < arrival.began < interval.end
        ]
        for arrival in late[:1]:
            seconds = arrival.began - interval.start
            reason = f"got a new call {seconds:.2f} s after it began to leave"
            trace = ordered_trace([interval.records[0], arrival])
            yield Violation(RULE, interval.subject, reason, trace)
