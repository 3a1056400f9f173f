"""When waiting calls are looked at again, and the timer that tells."""

import asyncio
from heapq import heappop, heappush

TICK_S = 0.05
SLACK = 64


class Expiries:
    """Moments to look at the calls in line, earliest first, and one timer.

    Parameters
    ----------
    look : callable
        Called without arguments when the timer fires; it stays off until
        it is armed again.
    """

    def __init__(self, look):
        self.look = look
        self.heap = []
        self.timer = None
        self.timer_due = 0.0

    def add(self, waiting, queue_size):
        """Note when to look at a call.

        Calls that left the line stay in the heap until their time comes, or
        until they outnumber the `live` ones that are still in line.
        """
        heappush(self.heap, (waiting.recheck_at, waiting.number, waiting))
        if len(self.heap) > 2 * queue_size + SLACK:
            # A sorted list is a heap.
            self.heap = sorted(entry for entry in self.heap if entry[-1].queued)

    def take_due(self, now):
        """Yield the calls to look at now that are still in line."""
        # Calls are added again meanwhile, which may put another heap in place.
        while self.heap and (self.heap[0][0] <= now or not self.heap[0][-1].queued):
            waiting = heappop(self.heap)[-1]
            if waiting.queued:
                yield waiting

    def arm(self, now):
        """Set the one timer: the earliest of them, or the next tick.

        The tick is for limits that grow with time: with every slot taken by
        a long call nothing else would look at the line.
        """
        due = now + TICK_S
        if self.heap:
            due = min(due, max(now, self.heap[0][0]))
        if self.timer is not None:
            if self.timer_due <= due:
                return
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(due - now, self.fire)
        self.timer_due = due

    def fire(self):
        """Have the line looked at."""
        self.timer = None
        self.look()

    def close(self):
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
