"""Checks that no sheddable call is admitted soon after a critical refusal.

A history has only samples of the counters, so the rule looks at three
consecutive samples. When critical refusals grew between the first and the
second, and sheddable admissions between the second and the third, the
refusal came first. When the third sample arrived within the hold time after
the first was requested, the admission was within the hold time too. Other
inversions can't be proven and are not reported, so that there are no false
positives.
"""

from itertools import groupby

from papayabay_bench.history.records import Sample
from papayabay_bench.history.violations import Violation

RULE = "class-order"


def violations(history, limits):
    """Yield daemons that admitted calls in the wrong order of classes."""
    samples = sorted(history.of_type(Sample), key=process_key)
    for (daemon, _), group in groupby(samples, key=process_key):
        process_samples = sorted(group, key=lambda sample: sample.time)
        for trace in zip(
            process_samples, process_samples[1:], process_samples[2:], strict=False
        ):
            if is_inverted(*trace, limits.overload_hold_seconds):
                reason = "admitted a sheddable call soon after refusing a critical one"
                yield Violation(RULE, daemon, reason, list(trace))


def process_key(sample):
    """Return a key that identifies the daemon process of a sample."""
    return sample.daemon, sample.life


def is_inverted(first, second, third, overload_hold_seconds):
    """Return whether three consecutive samples prove a wrong order."""
    return (
        second.critical_refused > first.critical_refused
        and third.sheddable_admitted > second.sheddable_admitted
        and third.time <= first.asked + overload_hold_seconds
    )
