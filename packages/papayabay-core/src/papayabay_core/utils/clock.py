"""The clock for deadlines and timeouts."""

import math
import time
from functools import partial

now = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Return the time on a monotonic clock that includes suspended time.

``CLOCK_MONOTONIC`` stops while a VM is suspended, so a daemon that resumes
would use leases and deadlines that have expired. ``CLOCK_BOOTTIME`` continues
during suspension. The result is in seconds since the VM was started, and has
no meaning on other VMs. A partial, as each call reads the clock some 30 times
and a function in Python doubles the cost of a reading.
"""


def whole_ms(seconds):
    """Return a duration in milliseconds, rounded up."""
    return math.ceil(seconds * 1_000)
