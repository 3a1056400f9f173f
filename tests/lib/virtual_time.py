"""An event loop whose time passes as fast as its work is done."""

import asyncio
import selectors


class VirtualTimeSelector:
    """Waits for nothing: time jumps to the next timer instead."""

    def __init__(self):
        self.inner = selectors.DefaultSelector()
        self.jump = lambda seconds: None

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("nothing is left that could happen")
        self.jump(timeout)
        return self.inner.select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, with no time between them.

    Real sockets must not be used: nobody waits for them.
    """

    def __init__(self):
        self.moment = 1_000.0
        selector = VirtualTimeSelector()
        super().__init__(selector)
        selector.jump = self.advance

    def advance(self, seconds):
        self.moment += max(0.0, seconds)

    def time(self):
        return self.moment


def run_in_virtual_time(main):
    """Run a coroutine function to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())
