"""A stretch of a run, on `clock.now()`."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Window:
    """From `begins`, included, to `ends`, excluded; seconds."""

    begins: float
    ends: float

    @property
    def seconds(self):
        """Length."""
        return self.ends - self.begins

    def holds(self, moment):
        """Return whether a moment lies within."""
        return self.begins <= moment < self.ends


def sliding(whole, seconds, step):
    """Yield windows of a length that lie within a whole one.

    Parameters
    ----------
    whole : Window
    seconds, step : float

    Yields
    ------
    Window
    """
    count = int((whole.seconds - seconds) / step + 1e-9) + 1
    for number in range(max(0, count)):
        begins = whole.begins + number * step
        yield Window(begins, begins + seconds)
