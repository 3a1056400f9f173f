"""Queue of waiting calls by the rank of their requests at all depths."""

from bisect import bisect_left, insort

from papayabay_core.importance import Importance

CLASSES = len(Importance)
GROUPS = CLASSES * CLASSES


class RequestQueue:
    """Priority queue by class, path class, rank and age.

    Calls of one class and path class are a group. Calls without a depth are
    refused before those with one, on which upstream services have spent work,
    but they are served by rank among them.

    The lanes are sorted lists. Unlike a heap, a lane gives both ends and the
    number of calls ahead. For the few hundred calls that wait at a target,
    moving entries costs less than the second heap of `RankedQueue`.
    """

    def __init__(self):
        self.size = 0
        self.group_sizes = [0] * GROUPS
        self.with_depth = [[] for _ in range(GROUPS)]
        self.without_depth = [[] for _ in range(GROUPS)]

    def sort_value(self, waiting):
        """Return the value that orders the calls of a group."""
        return waiting.call.rank

    def lane(self, call):
        """Return the list that holds a call."""
        lanes = self.with_depth if call.depth else self.without_depth
        return lanes[group_of(call)]

    def push(self, waiting):
        """Add a call."""
        call = waiting.call
        waiting.queued = True
        self.size += 1
        self.group_sizes[group_of(call)] += 1
        entry = self.sort_value(waiting), waiting.number, waiting
        insort(self.lane(call), entry)

    def discard(self, waiting):
        """Remove a call from any position."""
        call = waiting.call
        lane = self.lane(call)
        # The shorter tuple sorts just before the call's own entry.
        del lane[bisect_left(lane, (self.sort_value(waiting), waiting.number))]
        waiting.queued = False
        self.size -= 1
        self.group_sizes[group_of(call)] -= 1

    def count_ahead(self, waiting):
        """Return how many queued calls are to be served before a call."""
        group = group_of(waiting.call)
        key = self.sort_value(waiting), waiting.number
        return (
            sum(self.group_sizes[:group])
            + bisect_left(self.with_depth[group], key)
            + bisect_left(self.without_depth[group], key)
        )

    def pop(self):
        """Remove and return the best call, or None."""
        if not self.size:
            return None
        group = next(number for number, size in enumerate(self.group_sizes) if size)
        lanes = self.with_depth[group], self.without_depth[group]
        waiting = min(lane[0] for lane in lanes if lane)[-1]
        self.discard(waiting)
        return waiting

    def peek_worst_new(self, first_group):
        """Return the worst call without a depth, or None.

        Parameters
        ----------
        first_group : int
            Groups before this one are left out.
        """
        for lane in reversed(self.without_depth[first_group:]):
            if lane:
                return lane[-1][-1]
        return None

    def peek_worst(self):
        """Return the call to refuse first, without removing it, or None."""
        if not self.size:
            return None
        group = GROUPS - 1
        while not self.group_sizes[group]:
            group -= 1
        lane = self.without_depth[group] or self.with_depth[group]
        return lane[-1][-1]


def group_of(call):
    """Return the number of a call's class and path class; 0 is the best."""
    return CLASSES * call.importance + call.path_class
