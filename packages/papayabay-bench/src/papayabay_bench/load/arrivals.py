"""Arrival times: open loop, seeded, whatever becomes of the requests."""

import random


def arrival_times(spec):
    """Yield the times of this generator's arrivals, from the run's start.

    Parameters
    ----------
    spec : LoadSpec

    Yields
    ------
    float
        Seconds, growing.
    """
    source = random.Random(f"arrivals/{spec.seed}/{spec.part}")
    begins = 0.0
    for phase in spec.phases:
        rate = phase.rate / spec.parts
        yield from phase_times(spec, phase.seconds, rate, begins, source)
        begins += phase.seconds


def phase_times(spec, seconds, rate, begins, source):
    """Yield the arrival times of one phase."""
    if rate == 0.0:
        return
    offset = next_gap(spec, rate, source) if spec.arrivals == "poisson" else 0.0
    while offset < seconds:
        yield begins + offset
        offset += next_gap(spec, rate, source)


def next_gap(spec, rate, source):
    """Return the seconds between two arrivals."""
    if spec.arrivals == "paced":
        return 1.0 / rate
    return source.expovariate(rate)
