"""Metrics in the text form that collectors fetch.

Imported when they are first asked for: the library is 2.7 MB in a process, a
twelfth of it, and few daemons of a large fleet are ever asked.
"""

import re
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.utils import floatToGoString

from papayabay_daemon._internal.metrics.latencies import LATENCY_BUCKETS_S

PREFIX = "papayabay_"
NOT_IN_NAMES = re.compile(r"[^a-zA-Z0-9_]")
BOUNDS = (*map(floatToGoString, LATENCY_BUCKETS_S), "+Inf")


class Collector:
    """Reads the daemon's own counts when they are asked for.

    Parameters
    ----------
    latencies : Latencies
    totals : callable
        Returns numbers that only ever grow, by dotted name.
    gauges : callable
        Returns numbers that rise and fall, by dotted name.
    """

    def __init__(self, latencies, totals, gauges):
        self.latencies = latencies
        self.totals = totals
        self.gauges = gauges

    def collect(self):
        """Yield all levels, counters and histograms.

        Histograms come last. They are nine tenths of the page, and where a
        collector keeps a bounded part of it, the few numbers that tell what a
        process decides by must not be what is cut off.
        """
        yield from families(GaugeMetricFamily, "Level", self.gauges())
        yield from families(CounterMetricFamily, "Count", self.totals())
        requests, attempts = self.latencies.requests, self.latencies.attempts
        yield histograms("request", "Requests that entered here.", requests)
        yield histograms("attempt", "Attempts sent to upstreams.", attempts)


def families(kind, what, numbers):
    """Yield a family of one number for each dotted name."""
    for name, value in numbers.items():
        plain = PREFIX + NOT_IN_NAMES.sub("_", name).lower()
        family = kind(plain, f"{what} of {name}.")
        family.add_metric([], value)
        yield family


def histograms(name, text, by_series):
    """Return one family of histograms of seconds."""
    family = HistogramMetricFamily(
        f"{PREFIX}{name}_seconds", text, labels=("path", "outcome")
    )
    for series, histogram in by_series.items():
        sums = accumulate(histogram.counts)
        buckets = list(zip(BOUNDS, sums, strict=True))
        family.add_metric(series, buckets, histogram.seconds)
    return family


def exposition(latencies, totals, gauges):
    """Return all metrics as bytes."""
    registry = CollectorRegistry()
    registry.register(Collector(latencies, totals, gauges))
    return generate_latest(registry)
