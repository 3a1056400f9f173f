"""How long requests and attempts took, counted by path and outcome."""

from bisect import bisect_left
from dataclasses import dataclass, field

from papayabay_daemon._internal.decision_log import outcome_of

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds in seconds: doublings around what whole requests take, 50 ms
to 1.5 s, and a few below that show what the daemon itself adds."""
MOST_SERIES = 512
"""Pairs of path and outcome with a histogram; each costs about 0.5 KB."""


@dataclass(slots=True)
class Histogram:
    """Times of one path and outcome.

    Attributes
    ----------
    counts : list of int
        By bucket; the last is for what is longer than all bounds.
    seconds : float
        Their sum.
    """

    counts: list = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    seconds: float = 0.0

    def observe(self, elapsed):
        """Count one time."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, elapsed)] += 1
        self.seconds += elapsed


class Latencies:
    """How long requests and attempts took, by path and outcome.

    Attributes
    ----------
    requests, attempts : dict of (str, str) to Histogram
        Requests that entered here, and attempts sent to upstreams.
    left_out : int
        Times of paths beyond the bound.
    """

    def __init__(self):
        self.requests = {}
        self.attempts = {}
        self.series = set()
        self.left_out = 0
        # The outcome's name takes a microsecond; calls repeat the same few.
        self.bound = {}

    def request_ended(self, path_key, answer, elapsed):
        """Note a request's end."""
        self.observe(self.requests, "request", path_key, answer, elapsed)

    def attempt_ended(self, path_key, answer, elapsed):
        """Note an attempt's end."""
        self.observe(self.attempts, "attempt", path_key, answer, elapsed)

    def observe(self, histograms, what, path_key, answer, elapsed):
        """Note one time; a path beyond the bound is only counted."""
        kind = None if answer is None else answer.kind
        known = (what, path_key, answer is None, kind)
        histogram = self.bound.get(known)
        if histogram is None:
            series = (path_key, outcome_of(answer))
            if series not in self.series and len(self.series) >= MOST_SERIES:
                self.left_out += 1
                return
            self.series.add(series)
            histogram = histograms.setdefault(series, Histogram())
            self.bound[known] = histogram
        histogram.observe(elapsed)
