"""Order of equals: paths that take less work of scarce services go first."""

import logbook

from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now

UPDATE_INTERVAL_S = 0.1
"""How long the largest work of a class is used before it is found anew."""
WORK_TTL_S = 5.0
"""How long a path's work counts for the largest one of its class. The heaviest
path is refused most and so is updated least; if it were forgotten as soon as
the router has no figure of it, lighter paths would lose their advantage each
time, and requests that take more would be admitted in their place."""
MAX_PATHS = 256
"""Most paths of one class; the oldest entry is evicted for a new one."""
log = logbook.Logger("papayabay.work")


class ClassWork:
    """Work of the paths of one importance class.

    Parameters
    ----------
    importance : Importance

    Attributes
    ----------
    paths : dict of str to (float, float)
        Work in slot milliseconds, and the time it was recorded, by path key.
    largest, smallest : float
        Largest and smallest work, found at the latest update.
    update_at : float
        Time of the next update.
    is_ordered : bool
        Whether several paths of the class are known to take work.
    """

    __slots__ = (
        "importance", "is_ordered", "largest", "paths", "smallest", "update_at",
    )  # fmt: skip

    def __init__(self, importance):
        self.importance = importance
        self.is_ordered = False
        self.paths = {}
        self.largest = self.smallest = 0.0
        self.update_at = float("-inf")

    def record(self, path_key, work_ms, at):
        """Record a path's work and return the largest of the class."""
        if path_key not in self.paths and len(self.paths) >= MAX_PATHS:
            del self.paths[next(iter(self.paths))]
        self.paths[path_key] = work_ms, at
        self.expire(at)
        return max(self.largest, work_ms)

    def expire(self, at):
        """Drop expired paths, if an update is due."""
        if at >= self.update_at:
            self.update(at)

    def update(self, at):
        """Drop the paths whose work has expired, and find the largest."""
        self.update_at = at + UPDATE_INTERVAL_S
        self.paths = {
            path_key: entry
            for path_key, entry in self.paths.items()
            if at - entry[1] <= WORK_TTL_S
        }
        works = [work for work, _ in self.paths.values()]
        self.largest = max(works, default=0.0)
        self.smallest = min(works, default=0.0)
        is_ordered = len(self.paths) > 1
        if is_ordered != self.is_ordered:
            self.is_ordered = is_ordered
            self.log_change()

    def log_change(self):
        """Log that requests of the class are now ordered by work, or not."""
        name = self.importance.name.lower()
        if not self.is_ordered:
            log.notice("{} requests are ordered by rank alone again", name)
            return
        log.notice(
            "{} requests are ordered by the work of {} paths, at most {:.0f} ms",
            name,
            len(self.paths),
            self.largest,
        )


class WorkOrder:
    """Gives the factor by which a request's rank is scaled for its work.

    Parameters
    ----------
    clock : callable
        Seconds.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.classes = {importance: ClassWork(importance) for importance in Importance}

    def factor(self, importance, path_key, work_ms):
        """Return the path's work as a share of the largest of its class.

        Parameters
        ----------
        importance : Importance
            Class of the call path.
        path_key : str
        work_ms : float
            Slot milliseconds that a request takes of scarce services; 0.0 if
            unknown or none.

        Returns
        -------
        float
            1.0 where the path's work is 0.0.
        """
        class_work = self.classes[importance]
        if work_ms:
            return work_ms / class_work.record(path_key, work_ms, self.clock())
        if class_work.paths:
            class_work.expire(self.clock())
        return 1.0

    def smallest_factor(self, importance):
        """Return the factor of the path that takes the least work of a class.

        Parameters
        ----------
        importance : Importance
            Class of the call path.
        """
        class_work = self.classes[importance]
        if not class_work.largest:
            return 1.0
        return class_work.smallest / class_work.largest
