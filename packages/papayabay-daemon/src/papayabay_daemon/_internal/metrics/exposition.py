"""Counters and latency histograms in the text form that collectors fetch."""

import re

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily

from papayabay_core.calls import Answer, Body
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.decision_log import outcome_of
from papayabay_daemon._internal.doors.protocol import Door

PREFIX = "papayabay_"
NOT_IN_NAMES = re.compile(r"[^a-zA-Z0-9_]")
LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds in seconds: doublings around what whole requests take, 50 ms
to 1.5 s, and a few below that show what the daemon itself adds."""
MOST_SERIES = 512
"""Pairs of path and outcome with a histogram; each costs about 1 KB."""
CONTENT_TYPE = ("Content-Type", "text/plain; version=0.0.4; charset=utf-8")


class Latencies:
    """How long requests and attempts took, by path and outcome."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.series = set()
        self.left_out = 0
        self.requests = self.histogram("request", "Requests that entered here.")
        self.attempts = self.histogram("attempt", "Attempts sent to upstreams.")
        # The library looks a series up by its labels in a few microseconds;
        # calls repeat the same few.
        self.bound = {}

    def histogram(self, name, text):
        """Return a registered histogram of seconds."""
        return Histogram(
            f"{PREFIX}{name}_seconds",
            text,
            labelnames=("path", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def request_ended(self, path_key, answer, elapsed):
        """Note a request's end."""
        self.observe(self.requests, path_key, answer, elapsed)

    def attempt_ended(self, path_key, answer, elapsed):
        """Note an attempt's end."""
        self.observe(self.attempts, path_key, answer, elapsed)

    def observe(self, histogram, path_key, answer, elapsed):
        """Note one time; a path beyond the bound is only counted."""
        kind = None if answer is None else answer.kind
        known = (histogram, path_key, answer is None, kind)
        bound = self.bound.get(known)
        if bound is None:
            series = (path_key, outcome_of(answer))
            if series not in self.series and len(self.series) >= MOST_SERIES:
                self.left_out += 1
                return
            self.series.add(series)
            bound = self.bound[known] = histogram.labels(*series)
        bound.observe(elapsed)


class CounterCollector:
    """Reads the daemon's own counters when they are asked for.

    Parameters
    ----------
    totals : callable
        Returns numbers by dotted name.
    """

    def __init__(self, totals):
        self.totals = totals

    def collect(self):
        """Yield every counter."""
        for name, value in self.totals().items():
            plain = PREFIX + NOT_IN_NAMES.sub("_", name).lower()
            family = CounterMetricFamily(plain, f"Count of {name}.")
            family.add_metric([], value)
            yield family


class MetricsDoor(Door):
    """Serves all metrics as text.

    Parameters
    ----------
    settings : DaemonSettings
        With a `metrics.host`.
    registry : CollectorRegistry
    """

    def __init__(self, settings, registry):
        metrics = settings.metrics
        super().__init__(metrics.host, metrics.port, settings.limits)
        self.path = metrics.path
        self.registry = registry

    async def answer(self, request):
        """Return the metrics."""
        if request.method != "GET" or request.path != self.path:
            raise CallError(ErrorKind.UNKNOWN_SERVICE, "only the metrics are here")
        return Answer(200, [CONTENT_TYPE], Body(generate_latest(self.registry)))
