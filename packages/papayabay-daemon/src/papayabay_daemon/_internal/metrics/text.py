"""Metrics in the text form that collectors fetch.

Imported when they are first asked for: the library is 2.7 MB in a process, a
twelfth of it, and few daemons of a large fleet are ever asked.
"""

import re
from itertools import accumulate

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily
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
        Returns numbers by dotted name.
    """

    def __init__(self, latencies, totals):
        self.latencies = latencies
        self.totals = totals

    def collect(self):
        """Yield all histograms and counters."""
        requests, attempts = self.latencies.requests, self.latencies.attempts
        yield histograms("request", "Requests that entered here.", requests)
        yield histograms("attempt", "Attempts sent to upstreams.", attempts)
        for name, value in self.totals().items():
            plain = PREFIX + NOT_IN_NAMES.sub("_", name).lower()
            family = CounterMetricFamily(plain, f"Count of {name}.")
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


def exposition(latencies, totals):
    """Return all metrics as bytes."""
    registry = CollectorRegistry()
    registry.register(Collector(latencies, totals))
    return generate_latest(registry)
