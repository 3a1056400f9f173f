"""Streamed bodies of answers whose run ends with them."""

import asyncio


class RunBody:
    """Async iterator over the rest of a body; reports how it ended.

    Not an async generator: its `finally` clause does not run if it is closed
    or dropped before its first part, as when a client disconnects early.

    Parameters
    ----------
    rest : AsyncIterator of bytes
    on_end : callable
        Called once, with whether the body was read to its end.
    """

    def __init__(self, rest, on_end):
        self.rest = rest
        self.on_end = on_end
        self.loop = asyncio.get_running_loop()

    def __aiter__(self):
        """Return itself; the body can be read once."""
        return self

    async def __anext__(self):
        """Return the next part."""
        try:
            return await anext(self.rest)
        except StopAsyncIteration:
            self.end(True)
            raise
        except BaseException:
            self.end(False)
            raise

    async def aclose(self):
        """Give up the rest of the body."""
        self.end(False)
        close = getattr(self.rest, "aclose", None)
        if close is not None:
            await close()

    def end(self, complete):
        """Report the end, at the first call only."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(complete)

    def __del__(self):
        # Reported by the event loop, as the garbage collector may call this
        # within any function, in any thread.
        if self.on_end is not None and not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.on_end, False)
