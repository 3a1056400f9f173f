"""Checks which calls a daemon gives its target's slots to.

A daemon compares each call that gets a slot with those that wait, and each
refusal for overload with the free slots. Both counters stay 0 while slots go
to the most important call that waits and none is refused beside a free slot.
"""

from itertools import groupby

from papayabay_bench.history.records import Sample
from papayabay_bench.history.violations import Violation

CLASS_ORDER = "class-order"
IDLE_REFUSAL = "idle-refusal"


def class_order_violations(history, limits):
    """Yield daemons that gave slots to calls before more important ones."""
    for daemon, sample in first_samples(history, "inversions"):
        reason = "gave a slot to a call while a more important one was waiting"
        yield Violation(CLASS_ORDER, daemon, reason, [sample])


def idle_refusal_violations(history, limits):
    """Yield daemons that refused a call for overload beside a free slot."""
    for daemon, sample in first_samples(history, "idle_refusals"):
        reason = "refused a call for overload while a slot was free"
        yield Violation(IDLE_REFUSAL, daemon, reason, [sample])


def first_samples(history, counter):
    """Yield each process's daemon and first sample with a counter above 0."""
    samples = sorted(history.of_type(Sample), key=process_key)
    for (daemon, _), group in groupby(samples, key=process_key):
        counted = [sample for sample in group if getattr(sample, counter)]
        if counted:
            yield daemon, min(counted, key=lambda sample: sample.time)


def process_key(sample):
    """Return a key that identifies the daemon process of a sample."""
    return sample.daemon, sample.life
