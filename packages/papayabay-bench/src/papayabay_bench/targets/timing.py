"""Seeded service times, and their growth after a cold start."""

import math
import random

from papayabay_core.utils.clock import now


class WorkTimes:
    """Draws the slot time of each call of one target.

    Parameters
    ----------
    spec : TargetSpec
    """

    def __init__(self, spec):
        self.spec = spec
        self.random = random.Random(f"{spec.seed}/{spec.name}")
        self.started_at = now()

    def restart(self):
        """Begin a cold start."""
        self.started_at = now()

    def cold_factor(self):
        """Return the factor of the cold start now; 1 once it is over."""
        if not self.spec.cold_start_ms:
            return 1.0
        passed = (now() - self.started_at) * 1_000 / self.spec.cold_start_ms
        return 1.0 + (self.spec.cold_factor - 1.0) * max(0.0, 1.0 - passed)

    def draw(self, work, slow):
        """Return the seconds of work of one call."""
        seconds = draw_seconds(work, self.random)
        return seconds * slow * self.cold_factor()


def draw_seconds(work, source):
    """Return a service time in seconds.

    Parameters
    ----------
    work : ServiceTime
    source : random.Random
    """
    mean = work.mean_ms / 1_000
    if work.distribution == "fixed" or mean == 0.0:
        return mean
    if work.distribution == "exponential":
        return source.expovariate(1.0 / mean)
    location = math.log(mean) - work.sigma**2 / 2
    return source.lognormvariate(location, work.sigma)
