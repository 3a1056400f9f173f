"""Latency histograms of requests and attempts, by call path and outcome."""

from bisect import bisect_left
from dataclasses import dataclass, field

from papayabay_daemon._internal.decision_log import outcome_of

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds in seconds. From 50 ms on they double, for requests of 50 ms
to 1.5 s; the bounds below show the latency that the daemon itself adds."""
MAX_SERIES = 512
"""Most pairs of path and outcome with histograms; each takes about 0.5 KB."""
CANCELLED = object()
"""Stands for the error kind of an attempt without an answer."""


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
        # By path key and error kind, which saves computing the outcome's name.
        self.request_cache = {}
        self.attempt_cache = {}

    def request_ended(self, path_key, answer, elapsed):
        """Record the latency of a request; `elapsed` is in seconds."""
        key = path_key, answer.kind
        histogram = self.request_cache.get(key)
        if histogram is None:
            histogram = self.find(self.requests, path_key, answer)
            if histogram is None:
                return
            self.request_cache[key] = histogram
        histogram.counts[bisect_left(LATENCY_BUCKETS_S, elapsed)] += 1
        histogram.seconds += elapsed

    def attempt_ended(self, path_key, answer, elapsed):
        """Record the latency of an attempt; `elapsed` is in seconds.

        `answer` is None for a cancelled attempt.
        """
        key = path_key, CANCELLED if answer is None else answer.kind
        histogram = self.attempt_cache.get(key)
        if histogram is None:
            histogram = self.find(self.attempts, path_key, answer)
            if histogram is None:
                return
            self.attempt_cache[key] = histogram
        histogram.counts[bisect_left(LATENCY_BUCKETS_S, elapsed)] += 1
        histogram.seconds += elapsed

    def find(self, histograms, path_key, answer):
        """Return an outcome's histogram; None beyond `MAX_SERIES`."""
        series = path_key, outcome_of(answer)
        if series not in self.series and len(self.series) >= MAX_SERIES:
            self.left_out += 1
            return None
        self.series.add(series)
        return histograms.setdefault(series, Histogram())
