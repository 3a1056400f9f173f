"""Bounded waits on something that becomes true."""

import asyncio
import time

POLL_SECONDS = 0.05


async def wait_until(condition, timeout, what):
    """Poll a coroutine function until it returns something true.

    Parameters
    ----------
    condition : callable
        Without arguments, returning an awaitable.
    timeout : float
        Seconds.
    what : str
        For the message.

    Raises
    ------
    TimeoutError
        When it is still not true; says what was waited for.
    """
    ends_at = time.monotonic() + timeout
    while time.monotonic() < ends_at:
        found = await condition()
        if found:
            return found
        await asyncio.sleep(POLL_SECONDS)
    raise TimeoutError(f"{what}: not within {timeout} s")
