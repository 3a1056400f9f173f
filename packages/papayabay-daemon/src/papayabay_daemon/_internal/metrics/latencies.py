"""Latency histograms of requests and attempts, by call path and outcome."""

from bisect import bisect_left
from dataclasses import dataclass, field

from papayabay_daemon._internal.decision_log import outcome_of

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds in seconds. From 50 ms on they double, for requests of 50 ms
to 1.5 s; the bounds below show the latency that the daemon itself adds."""
MAX_SERIES = 512
"""Most pairs of path and outcome with histograms; each takes about 0.5 KB."""

ANSWERED, CANCELLED = 0, -1
"""Used where the number of an error kind is; those are above 0."""


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


class LatencySeries:
    """Histograms of one event, by path and outcome.

    Parameters
    ----------
    latencies : Latencies
        Bounds the number of series of all events together.

    Attributes
    ----------
    histograms : dict of (str, str) to Histogram
    known : dict of (str, int) to Histogram
        The same by path and number of the error kind. It saves the outcome's
        name, about a microsecond per call.
    """

    def __init__(self, latencies):
        self.latencies = latencies
        self.histograms = {}
        self.known = {}

    def record(self, path_key, answer, elapsed):
        """Record a latency.

        Parameters
        ----------
        path_key : str
        answer : Answer or None
            None for a cancelled attempt.
        elapsed : float
            Seconds.
        """
        if answer is None:
            kind = CANCELLED
        elif answer.kind is None:
            kind = ANSWERED
        else:
            kind = int(answer.kind)
        key = path_key, kind
        histogram = self.known.get(key)
        if histogram is None:
            histogram = self.add(key, outcome_of(answer))
            if histogram is None:
                return
        histogram.counts[bisect_left(LATENCY_BUCKETS_S, elapsed)] += 1
        histogram.seconds += elapsed

    def add(self, key, outcome):
        """Return the histogram of a series, or None beyond `MAX_SERIES`."""
        series = key[0], outcome
        if not self.latencies.admits(series):
            return None
        histogram = self.histograms.setdefault(series, Histogram())
        self.known[key] = histogram
        return histogram


class Latencies:
    """Latency histograms by path and outcome.

    Attributes
    ----------
    requests, attempts : dict of (str, str) to Histogram
        Requests that entered the fleet at this daemon, and attempts that it
        sent to upstreams.
    request_ended, attempt_ended : callable
        Record a latency; see `LatencySeries.record`.
    left_out : int
        Latencies that were not recorded because `MAX_SERIES` was reached.
    """

    def __init__(self):
        requests, attempts = LatencySeries(self), LatencySeries(self)
        self.requests = requests.histograms
        self.attempts = attempts.histograms
        # Bound here, as a method of this class would cost each call a layer.
        self.request_ended = requests.record
        self.attempt_ended = attempts.record
        self.series = set()
        self.left_out = 0

    def admits(self, series):
        """Return whether a series may have a histogram; count it if not."""
        if series not in self.series and len(self.series) >= MAX_SERIES:
            self.left_out += 1
            return False
        self.series.add(series)
        return True
