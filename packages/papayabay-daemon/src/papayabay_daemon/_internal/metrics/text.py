"""Renders the daemon's metrics in the Prometheus text format.

Import this module only when metrics are requested: the Prometheus library
takes 2.7 MB, a twelfth of the process's memory, and in a large fleet most
daemons are never scraped.
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
INVALID_IN_NAMES = re.compile(r"[^a-zA-Z0-9_]")
BOUNDS = (*map(floatToGoString, LATENCY_BUCKETS_S), "+Inf")


class Collector:
    """Collects the daemon's current metrics at each scrape.

    Parameters
    ----------
    latencies : Latencies
    totals : callable
        Returns the counters by dotted name.
    gauges : callable
        Returns the gauges by dotted name.
    """

    def __init__(self, latencies, totals, gauges):
        self.latencies = latencies
        self.totals = totals
        self.gauges = gauges

    def collect(self):
        """Yield all gauges, counters and histograms.

        Histograms come last. They make up nine tenths of the page, and a
        collector that truncates it must not lose the gauges and counters,
        which show the state that the daemon's decisions depend on.
        """
        yield from families(GaugeMetricFamily, "Level", self.gauges())
        yield from families(CounterMetricFamily, "Count", self.totals())
        requests, attempts = self.latencies.requests, self.latencies.attempts
        yield histograms("request", "Requests that entered here.", requests)
        yield histograms("attempt", "Attempts sent to upstreams.", attempts)


def families(kind, label, numbers):
    """Yield a metric family with a single value for each dotted name."""
    for name, value in numbers.items():
        metric_name = PREFIX + INVALID_IN_NAMES.sub("_", name).lower()
        family = kind(metric_name, f"{label} of {name}.")
        family.add_metric([], value)
        yield family


def histograms(name, text, by_series):
    """Return a metric family of latency histograms in seconds."""
    family = HistogramMetricFamily(
        f"{PREFIX}{name}_seconds", text, labels=("path", "outcome")
    )
    for series, histogram in by_series.items():
        cumulative = accumulate(histogram.counts)
        buckets = list(zip(BOUNDS, cumulative, strict=True))
        family.add_metric(series, buckets, histogram.seconds)
    return family


def exposition(latencies, totals, gauges):
    """Return all metrics in the text format, as bytes."""
    registry = CollectorRegistry()
    registry.register(Collector(latencies, totals, gauges))
    return generate_latest(registry)
