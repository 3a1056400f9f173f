"""Straight lines through measured points."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line.

    Attributes
    ----------
    fixed : float
        Its value at size 0.
    per_item : float
        Growth for each item.
    worst : float
        The largest distance of a point from the line, as a share of the
        largest value; above about 0.2 the line says little.
    """

    fixed: float
    per_item: float
    worst: float

    def at(self, size):
        """Return the value at a size."""
        return self.fixed + self.per_item * size


def fit(points):
    """Return the line through (size, value) points.

    Raises
    ------
    ValueError
        With fewer than two different sizes.
    """
    points = list(points)
    count = len(points)
    mean_size = sum(size for size, _ in points) / max(1, count)
    mean_value = sum(value for _, value in points) / max(1, count)
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    if not spread:
        raise ValueError("a line needs two different sizes")
    shared = sum((size - mean_size) * (value - mean_value) for size, value in points)
    per_item = shared / spread
    fixed = mean_value - per_item * mean_size
    largest = max(abs(value) for _, value in points) or 1.0
    worst = max(abs(value - fixed - per_item * size) for size, value in points)
    return Slope(fixed, per_item, worst / largest)
