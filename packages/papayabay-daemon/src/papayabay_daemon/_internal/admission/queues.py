"""Queues of waiting calls.

Removal is lazy: a discarded call is only marked, and skipped when it comes up,
so that removing a call does not scan the queue.
"""

from collections import deque
from heapq import heapify, heappop, heappush

from papayabay_core.importance import RANK_BITS, Importance

BUCKET_BITS = 6
BUCKET_SHIFT = RANK_BITS - BUCKET_BITS
BUCKETS = len(Importance) << BUCKET_BITS
SLACK = 64
"""Entries beyond twice the queued calls before a queue is compacted."""


def bucket_of(level):
    """Return the histogram bucket of an admission level."""
    return level >> BUCKET_SHIFT


def sort_key(call):
    """Return class and depth as a sort key; a lower key is served first."""
    return int(call.importance), -call.depth


class FifoQueue:
    """First-in, first-out queue that can also return the newest call."""

    def __init__(self):
        self.size = 0
        self.entries = deque()

    def push(self, waiting):
        """Add a call."""
        waiting.queued = True
        self.size += 1
        self.entries.append(waiting)

    def discard(self, waiting):
        """Remove a call from any position."""
        waiting.queued = False
        self.size -= 1
        if len(self.entries) > 2 * self.size + SLACK:
            self.entries = deque(entry for entry in self.entries if entry.queued)

    def pop(self, newest=False):
        """Remove and return the oldest or newest call, or None."""
        while self.entries:
            waiting = self.entries.pop() if newest else self.entries.popleft()
            if waiting.queued:
                waiting.queued = False
                self.size -= 1
                return waiting
        return None

    def peek(self):
        """Return the oldest call without removing it, or None."""
        entries = self.entries
        while entries and not entries[0].queued:
            entries.popleft()
        return entries[0] if entries else None


class RankedQueue:
    """Priority queue by class, depth, rank and age, open at both ends.

    Rank orders only calls of depth 0, on which no work was spent yet. Deeper
    calls were already selected by rank in upstream services. If a new call of
    a better rank displaced one of them, the work spent on it would be wasted,
    and so would the slots that upstream services kept occupied for it.

    Two heaps hold the same calls, one with the best call on top and one with
    the worst. A call removed from one is skipped in the other.
    """

    def __init__(self):
        self.size = 0
        self.best = []
        self.worst = []
        self.counts = [0] * BUCKETS

    def push(self, waiting):
        """Add a call."""
        bucket = bucket_of(waiting.call.level)
        call, number = waiting.call, waiting.number
        importance, negative_depth = sort_key(call)
        rank = 0 if call.depth else bucket
        waiting.queued = True
        self.size += 1
        self.counts[bucket] += 1
        heappush(self.best, (importance, negative_depth, rank, number, waiting))
        heappush(self.worst, (-importance, -negative_depth, -rank, -number, waiting))

    def count_up_to(self, level):
        """Return how many calls have the bucket of a level or a better one."""
        return sum(self.counts[: bucket_of(level) + 1])

    def discard(self, waiting):
        """Remove a call from any position."""
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
        """Remove and return the best call, or None."""
        waiting = first_queued(self.best)
        if waiting is not None:
            self.discard(waiting)
        return waiting

    def peek_worst(self):
        """Return the worst call without removing it, or None."""
        return first_queued(self.worst)


def first_queued(heap):
    """Return the first call of a heap that is still queued, or None."""
    while heap:
        waiting = heap[0][-1]
        if waiting.queued:
            return waiting
        heappop(heap)
    return None


def compacted(heap):
    """Return a heap of the entries whose calls are still queued."""
    kept = [entry for entry in heap if entry[-1].queued]
    heapify(kept)
    return kept
