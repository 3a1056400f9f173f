"""Goodput of whole requests, and latency."""

from collections import Counter

from hdrh.histogram import HdrHistogram

HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


def due_within(requests, window):
    """Return the requests that were due within a window."""
    return [request for request in requests if window.holds(request.due)]


def goodput(requests, window):
    """Return the requests per second that ended correctly in a window.

    A request counts when its caller got its own whole answer, at the
    moment when it came.
    """
    ended = sum(request.good and window.holds(request.ended) for request in requests)
    return ended / window.seconds


def goodput_by_class(requests, window):
    """Return the goodput of each importance class."""
    counted = Counter(
        request.importance
        for request in requests
        if request.good and window.holds(request.ended)
    )
    return {name: number / window.seconds for name, number in counted.items()}


def offered_by_class(requests, window):
    """Return the requests per second of each class that were due."""
    counted = Counter(request.importance for request in due_within(requests, window))
    return {name: number / window.seconds for name, number in counted.items()}


def offered_by_call(requests, window):
    """Return the requests per second of each call that were due."""
    counted = Counter(request.call for request in due_within(requests, window))
    return {name: number / window.seconds for name, number in counted.items()}


def good_share(requests):
    """Return the share of requests that ended correctly; 1 of none."""
    if not requests:
        return 1.0
    return sum(request.good for request in requests) / len(requests)


def latency_histogram(latencies_ms):
    """Return an HdrHistogram, in microseconds, of latencies."""
    histogram = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in latencies_ms:
        histogram.record_value(max(1, int(latency * 1_000)))
    return histogram


def percentile_ms(histogram, percentile):
    """Return a percentile of a histogram in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1_000
