"""Schedule of the times at which queued calls are rechecked."""

import asyncio
from heapq import heappop, heappush

TICK_S = 0.05
SLACK = 64
"""Entries beyond twice the queued calls before the heap is compacted."""


class Expiries:
    """Recheck times of queued calls, with a single timer for all of them.

    Parameters
    ----------
    callback : callable
        Called without arguments when the timer fires. The timer does not
        restart by itself; see `arm`.
    """

    def __init__(self, callback):
        self.callback = callback
        self.heap = []
        self.timer = None
        self.timer_due = 0.0

    def add(self, waiting, queue_size):
        """Schedule a queued call for its `recheck_at`.

        Entries of calls that have left the queue stay in the heap until their
        time comes, or until they outnumber the `queue_size` calls that are
        still queued.
        """
        heappush(self.heap, (waiting.recheck_at, waiting.number, waiting))
        if len(self.heap) > 2 * queue_size + SLACK:
            # A sorted list is a heap.
            self.heap = sorted(entry for entry in self.heap if entry[-1].queued)

    def pop_due(self, now):
        """Remove and yield the queued calls whose recheck time has come."""
        # The consumer may add calls between two steps, and `add` may replace
        # the heap; so `self.heap` is read again each time.
        while self.heap and (self.heap[0][0] <= now or not self.heap[0][-1].queued):
            waiting = heappop(self.heap)[-1]
            if waiting.queued:
                yield waiting

    def arm(self, now):
        """Start the timer for the earliest recheck, or the next tick.

        The tick is needed for limits that grow with time: while long calls
        occupy every slot, no other event dispatches from the queue.
        """
        due = now + TICK_S
        if self.heap and self.heap[0][0] < due:
            due = max(now, self.heap[0][0])
        if self.timer is not None:
            if self.timer_due <= due:
                return
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(due - now, self.on_timer)
        self.timer_due = due

    def on_timer(self):
        """Run the callback."""
        self.timer = None
        self.callback()

    def close(self):
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
