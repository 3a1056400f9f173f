"""A timeout for the calls' hot path."""

import asyncio


class CallTimeout:
    """Cancels what its block awaits when a time has passed.

    A cheaper `asyncio.timeout` that can't be rescheduled, to be used with
    ``with`` in a task: each call has one at every hop.

    Parameters
    ----------
    seconds : float
        0 or less ends the block at its first wait.

    Raises
    ------
    TimeoutError
        On leaving the block, when the time had passed. A cancellation from
        elsewhere goes on as what it is, also when both come together.
    """

    __slots__ = ("cancelling", "expired", "seconds", "task", "timer")

    def __init__(self, seconds):
        self.seconds = seconds
        self.expired = False

    def __enter__(self):
        """Start the time."""
        self.task = asyncio.current_task()
        self.cancelling = self.task.cancelling()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(self.seconds, 0.0), self.expire)
        return self

    def expire(self):
        """End the block's wait."""
        self.expired = True
        self.task.cancel()

    def __exit__(self, kind, error, traceback):
        """Turn the own cancellation into `TimeoutError`."""
        self.timer.cancel()
        if not self.expired:
            return
        # More cancellations than before the block, less our own: somebody
        # else wants the task ended too, and swallowing that would leave a
        # call running for a caller who has left.
        others = self.task.uncancel() > self.cancelling
        if kind is asyncio.CancelledError and not others:
            raise TimeoutError from error
