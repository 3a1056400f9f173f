"""An event loop in virtual time, which skips the waits between timers."""

import asyncio
import selectors


class VirtualTimeSelector:
    """Returns at once and advances the time by the timeout of a select."""

    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.advance = lambda seconds: None

    def __getattr__(self, name):
        return getattr(self.selector, name)

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("deadlock: no timer and no callback is pending")
        self.advance(timeout)
        return self.selector.select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, with no wait between them.

    It must not use real sockets: the loop does not wait for their data.
    """

    def __init__(self):
        self.now_s = 1_000.0
        selector = VirtualTimeSelector()
        super().__init__(selector)
        selector.advance = self.advance

    def advance(self, seconds):
        self.now_s += max(0.0, seconds)

    def time(self):
        return self.now_s


def run_in_virtual_time(main):
    """Run a coroutine function to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())
