"""Supervisor tree: runs the daemon's tasks and restarts them on failure."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import logbook

from papayabay_core.utils.clock import now

INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
MAX_FAILURES = 5
"""Failures of a child within `FAILURE_WINDOW_SECONDS` that are tolerated."""
FAILURE_WINDOW_SECONDS = 60.0

log = logbook.Logger("papayabay.supervisor")


@dataclass(frozen=True, slots=True)
class Child:
    """One supervised task.

    Attributes
    ----------
    name : str
    run : callable
        Returns the coroutine to run; called again for each restart.
    """

    name: str
    run: Callable[[], Awaitable[None]]


class Supervisor:
    """Runs children concurrently, and restarts those that fail.

    A child that fails more than `MAX_FAILURES` times within a minute ends the
    supervisor with an exception group, which propagates up the tree: a daemon
    that restarts do not repair exits, so that it can be replaced.

    Parameters
    ----------
    name : str
    children : list of Child

    Attributes
    ----------
    restarts : dict of str to int
        Restarts by the child's name.
    """

    def __init__(self, name, children):
        self.name = name
        self.children = children
        self.restarts = {child.name: 0 for child in children}

    async def run(self):
        """Run until every child has ended, or one has failed too often."""
        async with asyncio.TaskGroup() as group:
            for child in self.children:
                group.create_task(self.supervise(child), name=child.name)

    async def supervise(self, child):
        """Run one child, and restart it after each failure."""
        failures = deque()
        while True:
            try:
                return await child.run()
            except Exception as error:
                self.record_failure(child, failures, error)
            await asyncio.sleep(backoff_seconds(len(failures)))

    def record_failure(self, child, failures, error):
        """Log and count a failure; raise it after too many in the window."""
        moment = now()
        failures.append(moment)
        while failures[0] < moment - FAILURE_WINDOW_SECONDS:
            failures.popleft()
        self.restarts[child.name] += 1
        log.error(
            "{} of supervisor {} failed, {} times within a minute: {!r}",
            child.name,
            self.name,
            len(failures),
            error,
            exc_info=True,
        )
        if len(failures) > MAX_FAILURES:
            raise error


def backoff_seconds(failures):
    """Return the delay before a restart, which doubles with each failure."""
    return min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** (failures - 1))
