"""No sheddable call is admitted just after a critical one was refused.

Only counters are seen, at the times of samples. A critical refusal between
the first and second of three samples, and a sheddable admission between the
second and third, are in this order for certain; and if the third was there
within the hold time of the asking for the first, they are as close together.
What lies closer to a sample than this shows nothing, so nothing is reported
that did not happen.
"""

from itertools import groupby

from papayabay_bench.history.records import Sample
from papayabay_bench.history.violations import Violation

RULE = "class-order"


def violations(history, limits):
    """Yield daemons that admitted in the wrong order."""
    samples = sorted(history.of_type(Sample), key=process_of)
    for (daemon, _), group in groupby(samples, key=process_of):
        own = sorted(group, key=lambda sample: sample.time)
        for trace in zip(own, own[1:], own[2:], strict=False):
            if is_inverted(*trace, limits.overload_hold_seconds):
                reason = "admitted a sheddable call after it refused a critical one"
                yield Violation(RULE, daemon, reason, list(trace))


def process_of(sample):
    """Return what tells one daemon process from all others."""
    return sample.daemon, sample.life


def is_inverted(first, second, third, overload_hold_seconds):
    """Return whether three samples show the wrong order."""
    return (
        second.critical_refused > first.critical_refused
        and third.sheddable_admitted > second.sheddable_admitted
        and third.time <= first.asked + overload_hold_seconds
    )
