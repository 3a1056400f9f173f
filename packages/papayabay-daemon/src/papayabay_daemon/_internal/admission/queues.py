"""Lines of waiting calls; removal is lazy, so nothing scans a line."""

from collections import deque
from heapq import heapify, heappop, heappush

from papayabay_core.importance import RANK_BITS, Importance

BUCKET_BITS = 6
BUCKET_SHIFT = RANK_BITS - BUCKET_BITS
BUCKETS = len(Importance) << BUCKET_BITS
SLACK = 64


def bucket_of(level):
    """Return the coarse bucket of an admission level."""
    return level >> BUCKET_SHIFT


def order_of(call):
    """Return what orders calls before rank and age; the lower goes first."""
    return int(call.importance), -call.depth


class FifoQueue:
    """First in, first out; optionally the newest first."""

    def __init__(self):
        self.size = 0
        self.entries = deque()

    def push(self, waiting):
        """Put a call in line."""
        waiting.queued = True
        self.size += 1
        self.entries.append(waiting)

    def discard(self, waiting):
        """Take a call out of the line, wherever it is."""
        waiting.queued = False
        self.size -= 1
        if len(self.entries) > 2 * self.size + SLACK:
            self.entries = deque(entry for entry in self.entries if entry.queued)

    def pop(self, newest=False):
        """Take the next call, or None."""
        while self.entries:
            waiting = self.entries.pop() if newest else self.entries.popleft()
            if waiting.queued:
                waiting.queued = False
                self.size -= 1
                return waiting
        return None

    def peek(self):
        """Return the oldest call without taking it, or None."""
        entries = self.entries
        while entries and not entries[0].queued:
            entries.popleft()
        return entries[0] if entries else None


class RankedQueue:
    """Best first by class, depth, rank and age; gives up its worst.

    Rank orders only the calls on which no work was spent yet. On deeper ones
    the threshold has already chosen by rank, in the services above; to let a
    newcomer of a better rank displace one of them once more would waste what
    was spent on that one, its wait in slots of the services above included.

    Two heaps hold the same calls, one led by the best and one by the worst.
    A call taken from one is skipped when it comes up in the other.
    """

    def __init__(self):
        self.size = 0
        self.best = []
        self.worst = []
        self.counts = [0] * BUCKETS

    def push(self, waiting):
        """Put a call in line."""
        bucket = bucket_of(waiting.call.level)
        call, number = waiting.call, waiting.number
        importance, shallowness = order_of(call)
        rank = 0 if call.depth else bucket
        waiting.queued = True
        self.size += 1
        self.counts[bucket] += 1
        heappush(self.best, (importance, shallowness, rank, number, waiting))
        heappush(self.worst, (-importance, -shallowness, -rank, -number, waiting))

    def ahead(self, level):
        """Return how many calls are at least as good as a level."""
        return sum(self.counts[: bucket_of(level) + 1])

    def discard(self, waiting):
        """Take a call out of the line, wherever it is."""
        waiting.queued = False
        self.size -= 1
        self.counts[bucket_of(waiting.call.level)] -= 1
        if not self.size:
            self.best.clear()
            self.worst.clear()
            return
        bound = 2 * self.size + SLACK
        if len(self.best) > bound:
            self.best = compacted(self.best)
        if len(self.worst) > bound:
            self.worst = compacted(self.worst)

    def pop(self):
        """Take the best call, or None."""
        waiting = first_queued(self.best)
        if waiting is not None:
            self.discard(waiting)
        return waiting

    def peek_worst(self):
        """Return the worst call without taking it, or None."""
        return first_queued(self.worst)


def first_queued(heap):
    """Return the first call of a heap that is still in line, or None."""
    while heap:
        waiting = heap[0][-1]
        if waiting.queued:
            return waiting
        heappop(heap)
    return None


def compacted(heap):
    """Return a heap without the calls that are no longer in line."""
    kept = [entry for entry in heap if entry[-1].queued]
    heapify(kept)
    return kept
