"""Latency histograms of requests and attempts, by call path and outcome."""

from bisect import bisect_left
from dataclasses import dataclass, field

from papayabay_daemon._internal.decision_log import outcome_of

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds in seconds. From 50 ms on they double, for requests of 50 ms
to 1.5 s; the bounds below show the latency that the daemon itself adds."""
MAX_SERIES = 512
"""Most pairs of path and outcome with histograms; each takes about 0.5 KB."""


@dataclass(slots=True)
class Histogram:
    """Latency histogram of one path and outcome.

    Attributes
    ----------
    counts : list of int
        Number of latencies by bucket; the last bucket has no upper bound.
    seconds : float
        Sum of all latencies.
    """

    counts: list = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    seconds: float = 0.0

    def observe(self, elapsed):
        """Count one latency.

        Parameters
        ----------
        elapsed : float
            Seconds.
        """
        self.counts[bisect_left(LATENCY_BUCKETS_S, elapsed)] += 1
        self.seconds += elapsed


class Latencies:
    """Latency histograms by path and outcome.

    Attributes
    ----------
    requests, attempts : dict of (str, str) to Histogram
        Requests that entered the fleet at this daemon, and attempts that it
        sent to upstreams.
    left_out : int
        Latencies that were not recorded because `MAX_SERIES` was reached.
    """

    def __init__(self):
        self.requests = {}
        self.attempts = {}
        self.series = set()
        self.left_out = 0
        # Saves computing the outcome's name, about a microsecond per call.
        self.histogram_cache = {}

    def request_ended(self, path_key, answer, elapsed):
        """Record the latency of a request; `elapsed` is in seconds."""
        self.observe(self.requests, "request", path_key, answer, elapsed)

    def attempt_ended(self, path_key, answer, elapsed):
        """Record the latency of an attempt; `elapsed` is in seconds."""
        self.observe(self.attempts, "attempt", path_key, answer, elapsed)

    def observe(self, histograms, event, path_key, answer, elapsed):
        """Record a latency, or count it as left out beyond `MAX_SERIES`."""
        kind = None if answer is None else answer.kind
        cache_key = (event, path_key, answer is None, kind)
        histogram = self.histogram_cache.get(cache_key)
        if histogram is None:
            series = (path_key, outcome_of(answer))
            if series not in self.series and len(self.series) >= MAX_SERIES:
                self.left_out += 1
                return
            self.series.add(series)
            histogram = histograms.setdefault(series, Histogram())
            self.histogram_cache[cache_key] = histogram
        histogram.observe(elapsed)
