"""Timeout for the hot path of calls."""

import asyncio
from asyncio import current_task


class CallTimeout:
    """Context manager that cancels its block when a time has passed.

    A cheaper `asyncio.timeout` that can't be rescheduled, since each call
    needs one at every hop. To be used with ``with``, inside a task.

    Parameters
    ----------
    seconds : float
        With 0 or less, the block is cancelled at its first wait.

    Raises
    ------
    TimeoutError
        On leaving the block, if the timeout cancelled it. A cancellation from
        elsewhere propagates as `CancelledError`, even if both happen together.
    """

    __slots__ = ("cancelling", "expired", "seconds", "task", "timer")

    def __init__(self, seconds):
        self.seconds = seconds
        self.expired = False

    def __enter__(self):
        """Start the timer."""
        # Each look-up of the running loop or task is a system call in Python
        # 3.11, so the loop is taken from the task.
        task = self.task = current_task()
        self.cancelling = task.cancelling()
        seconds = self.seconds if self.seconds > 0.0 else 0.0
        self.timer = task.get_loop().call_later(seconds, self.expire)
        return self

    def expire(self):
        """Cancel the task."""
        self.expired = True
        self.task.cancel()

    def __exit__(self, kind, error, traceback):
        """Convert the timeout's own cancellation to `TimeoutError`."""
        self.timer.cancel()
        if not self.expired:
            return
        # If cancellations remain beyond those before the block, without the
        # timeout's own one, the task was also cancelled from elsewhere.
        # Suppressing that would keep a call running whose caller has left.
        cancelled_elsewhere = self.task.uncancel() > self.cancelling
        if kind is asyncio.CancelledError and not cancelled_elsewhere:
            raise TimeoutError from error
