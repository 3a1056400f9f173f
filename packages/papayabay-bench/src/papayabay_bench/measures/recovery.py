"""Time back to normal goodput after an overload's trigger has ended.

A request is *served normally* when it ends correctly within three times
the 99th percentile latency that good requests had in the normal stretch. A
window of 500 ms is normal when the share of the requests due in it that
were served normally is at least 95 % of that share in the normal stretch.
The time back is from the trigger's end to the begin of the first window
that is normal and stays so: every window that begins within the next
second is normal as well. Windows slide by 50 ms.

Counting by the time due, and as a share, keeps chance in the number of
arrivals out of the figure, and late answers to requests of the overload do
not pass for recovery.
"""

from papayabay_bench.measures.goodput import (
    due_within,
    good_share,
    latency_histogram,
    percentile_ms,
)
from papayabay_bench.measures.windows import sliding

NORMAL_SHARE = 0.95
LATENCY_FACTOR = 3.0
WINDOW_SECONDS = 0.5
STEP_SECONDS = 0.05
HOLD_SECONDS = 1.0


def time_back(requests, normal, after):
    """Return the seconds from the trigger's end to normal goodput.

    Parameters
    ----------
    requests : list of Request
    normal : Window
        Before the overload.
    after : Window
        From the trigger's end to the end of the load.

    Returns
    -------
    float or None
        None when goodput was not back within `after`.
    """
    before = due_within(requests, normal)
    limit_ms = LATENCY_FACTOR * usual_latency_ms(before)
    needed = NORMAL_SHARE * served_share(before, limit_ms)
    windows = list(sliding(after, WINDOW_SECONDS, STEP_SECONDS))
    fine = [is_normal(requests, window, limit_ms, needed) for window in windows]
    hold = round(HOLD_SECONDS / STEP_SECONDS)
    lasting = (
        window.begins - after.begins
        for number, window in enumerate(windows)
        if number + hold < len(windows) and all(fine[number : number + hold + 1])
    )
    return next(lasting, None)


def usual_latency_ms(requests):
    """Return the 99th percentile latency of good requests."""
    latencies = [request.latency_ms for request in requests if request.good]
    return percentile_ms(latency_histogram(latencies), 99)


def is_normal(requests, window, limit_ms, needed):
    """Return whether enough of a window's requests were served normally."""
    due = due_within(requests, window)
    return bool(due) and served_share(due, limit_ms) >= needed


def served_share(requests, limit_ms):
    """Return the share of requests that were served normally."""
    served = [request for request in requests if request.latency_ms <= limit_ms]
    return good_share(served) * len(served) / len(requests) if requests else 0.0
