"""Waits for a condition, with a timeout."""

import asyncio
import time

POLL_SECONDS = 0.05


async def wait_until(condition, timeout, what):
    """Poll a condition until it is true, and return its value.

    Parameters
    ----------
    condition : callable
        Takes no arguments and returns an awaitable. Any true value of the
        awaitable ends the wait.
    timeout : float
        Seconds.
    what : str
        Description of the condition for the error message.

    Raises
    ------
    TimeoutError
        When the condition is not true within the timeout.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(POLL_SECONDS)
    raise TimeoutError(f"timed out after {timeout} s waiting for {what}")
