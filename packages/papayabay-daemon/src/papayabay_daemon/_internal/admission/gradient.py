"""A concurrency limit that follows the gradient of latency."""

from papayabay_daemon._internal.admission.fifo import FifoScheme

WINDOW_S = 0.1
WINDOW_CALLS = 10
LONG_WEIGHT = 0.02
SMOOTHING = 0.2
TOLERANCE = 1.5
MIN_GRADIENT = 0.5
LONG_DECAY = 0.95
MAX_LIMIT = 1_000


class Gradient(FifoScheme):
    """Shrinks the limit when recent latency exceeds the long-term one.

    TCP Vegas' idea (Brakmo et al., SIGCOMM '94) as Netflix's
    concurrency-limits "Gradient2" applies it. Every hop decides for itself;
    class and rank play no part.
    """

    def __init__(self, control):
        super().__init__(control)
        self.estimate = float(max(1, control.inputs.slots))
        self.long = 0.0
        self.total = 0.0
        self.calls = 0
        self.peak = 0
        self.window_end = 0.0

    def limit(self, now):
        """Return the limit that latency allows."""
        return int(self.estimate)

    def capacity(self, now):
        """Return one more call per slot, so that slots are refilled."""
        return int(self.estimate)

    def granted(self, waited, now):
        """Note how many calls run at most in this window."""
        self.peak = max(self.peak, self.control.in_flight)

    def finished(self, elapsed, answer, now):
        """Learn from a latency that the target answered with."""
        if answer is None or answer.kind is not None:
            return
        self.calls += 1
        self.total += elapsed
        if now >= self.window_end and self.calls >= WINDOW_CALLS:
            self.update(self.total / self.calls)
            self.window_end = now + WINDOW_S
            self.total, self.calls = 0.0, 0
            self.peak = self.control.in_flight

    def update(self, short):
        self.long += (LONG_WEIGHT if self.long else 1.0) * (short - self.long)
        if self.long > 2 * short:
            self.long *= LONG_DECAY
        if self.peak < self.estimate / 2:
            return
        ratio = TOLERANCE * self.long / max(short, 1e-9)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        wanted = gradient * self.estimate + self.estimate**0.5
        moved = self.estimate + SMOOTHING * (wanted - self.estimate)
        self.estimate = min(max(moved, 1.0), MAX_LIMIT)
