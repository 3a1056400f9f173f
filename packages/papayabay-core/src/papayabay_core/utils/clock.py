"""The clocks that lifetimes and pauses are measured by."""

import math
import time


def now():
    """Return seconds on a clock that counts suspended time.

    ``CLOCK_MONOTONIC`` stands still while a VM is suspended, so a holder
    that resumes would believe that no time has passed. ``CLOCK_BOOTTIME``
    goes on, which lets the holder see that its lifetime has ended.

    Returns
    -------
    float
        Seconds since the machine started. Never sent to another machine.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def whole_ms(seconds):
    """Return a duration in whole milliseconds, rounded up."""
    return math.ceil(seconds * 1_000)
