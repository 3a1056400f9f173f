"""Gradient admission: a concurrency limit that follows latency."""

from papayabay_daemon._internal.admission.fifo import FifoScheme

WINDOW_S = 0.1
WINDOW_CALLS = 10
LONG_TERM_WEIGHT = 0.02
SMOOTHING = 0.2
TOLERANCE = 1.5
"""Ratio of recent to long-term latency that does not lower the limit."""
MIN_GRADIENT = 0.5
LONG_TERM_DECAY = 0.95
MAX_LIMIT = 1_000


class Gradient(FifoScheme):
    """Lowers the limit when recent latency exceeds the long-term mean.

    The idea of TCP Vegas (Brakmo et al., SIGCOMM '94), as applied in
    "Gradient2" of Netflix's concurrency-limits. Each hop decides on its own,
    and ignores class and rank.
    """

    def __init__(self, control):
        super().__init__(control)
        self.estimate = float(max(1, control.inputs.slots))
        self.long_latency_s = 0.0
        self.latency_sum_s = 0.0
        self.calls = 0
        self.peak_in_flight = 0
        self.window_end = 0.0

    def limit(self, now):
        """Return the current estimate of the limit."""
        return int(self.estimate)

    def capacity(self, now):
        """Return one queued call per slot, so that free slots are refilled."""
        return int(self.estimate)

    def granted(self, waited_s, now):
        """Update the peak of in-flight calls in this window."""
        self.peak_in_flight = max(self.peak_in_flight, self.control.in_flight)

    def finished(self, elapsed, answer, now):
        """Add the latency of a successful call to the window."""
        if answer is None or answer.kind is not None:
            return
        self.calls += 1
        self.latency_sum_s += elapsed
        if now >= self.window_end and self.calls >= WINDOW_CALLS:
            self.update(self.latency_sum_s / self.calls)
            self.window_end = now + WINDOW_S
            self.latency_sum_s, self.calls = 0.0, 0
            self.peak_in_flight = self.control.in_flight

    def update(self, latency_s):
        self.long_latency_s += (LONG_TERM_WEIGHT if self.long_latency_s else 1.0) * (
            latency_s - self.long_latency_s
        )
        if self.long_latency_s > 2 * latency_s:
            self.long_latency_s *= LONG_TERM_DECAY
        if self.peak_in_flight < self.estimate / 2:
            return
        ratio = TOLERANCE * self.long_latency_s / max(latency_s, 1e-9)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        wanted = gradient * self.estimate + self.estimate**0.5
        moved = self.estimate + SMOOTHING * (wanted - self.estimate)
        self.estimate = min(max(moved, 1.0), MAX_LIMIT)
