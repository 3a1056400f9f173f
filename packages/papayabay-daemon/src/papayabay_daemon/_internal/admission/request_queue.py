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

    def push(self, waiting):
        """Add a call; its group and place stay the same while it is queued."""
        call = waiting.call
        group = waiting.group = group_of(call)
        value = waiting.sort_value = self.sort_value(waiting)
        lanes = self.with_depth if call.depth else self.without_depth
        insort(lanes[group], (value, waiting.number, waiting))
        waiting.queued = True
        self.size += 1
        self.group_sizes[group] += 1

    def discard(self, waiting):
        """Remove a call from any position."""
        group = waiting.group
        lanes = self.with_depth if waiting.call.depth else self.without_depth
        lane = lanes[group]
        # The shorter tuple sorts just before the call's own entry.
        del lane[bisect_left(lane, (waiting.sort_value, waiting.number))]
        waiting.queued = False
        self.size -= 1
        self.group_sizes[group] -= 1

    def count_ahead(self, waiting):
        """Return how many queued calls are to be served before a call."""
        if waiting.queued:
            group, value = waiting.group, waiting.sort_value
        else:
            group, value = group_of(waiting.call), self.sort_value(waiting)
        key = value, waiting.number
        return (
            sum(self.group_sizes[:group])
            + bisect_left(self.with_depth[group], key)
            + bisect_left(self.without_depth[group], key)
        )

    def pop(self):
        """Remove and return the best call, or None."""
        if not self.size:
            return None
        group = 0
        while not self.group_sizes[group]:
            group += 1
        begun, lane = self.with_depth[group], self.without_depth[group]
        if begun and (not lane or begun[0] < lane[0]):
            lane = begun
        waiting = lane.pop(0)[-1]
        waiting.queued = False
        self.size -= 1
        self.group_sizes[group] -= 1
        return waiting

    def peek_worst_new(self):
        """Return the worst call without a depth, or None."""
        for lane in reversed(self.without_depth):
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
