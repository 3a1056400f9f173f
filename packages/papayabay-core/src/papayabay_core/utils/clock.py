"""The clock for deadlines and timeouts."""

import math
import time


def now():
    """Return the time on a monotonic clock that includes suspended time.

    ``CLOCK_MONOTONIC`` stops while a VM is suspended, so a daemon that resumes
    would use leases and deadlines that have expired. ``CLOCK_BOOTTIME``
    continues during suspension.

    Returns
    -------
    float
        Seconds since the VM was started; has no meaning on other VMs.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def whole_ms(seconds):
    """Return a duration in milliseconds, rounded up."""
    return math.ceil(seconds * 1_000)
