"""Tests of restarts with backoff, and of failures that propagate upwards."""

import asyncio
import unittest
from unittest import mock

import logbook

from papayabay_daemon._internal import supervisor
from papayabay_daemon._internal.supervisor import Child, Supervisor, backoff_seconds

WAIT = 10.0


class Fault(Exception):
    """Raised by the children of these tests."""


class SupervisorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.time = 1_000.0
        self.seconds_per_pause = 0.0
        self.pauses = []
        self.runs = 0
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)
        for target, name, replacement in (
            (supervisor, "now", lambda: self.time),
            (supervisor.asyncio, "sleep", self.pause),
        ):
            patch = mock.patch.object(target, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    async def pause(self, seconds):
        self.pauses.append(seconds)
        self.time += self.seconds_per_pause

    def failing(self, times):
        async def run():
            self.runs += 1
            if self.runs <= times:
                raise Fault(self.runs)

        return Child("failing", run)

    async def run_bounded(self, *children):
        parent = Supervisor("tests", list(children))
        async with asyncio.timeout(WAIT):
            await parent.run()
        return parent

    async def test_failing_child_is_restarted_with_growing_backoff(self):
        parent = await self.run_bounded(self.failing(3))
        self.assertEqual(self.runs, 4)
        self.assertEqual(parent.restarts, {"failing": 3})
        self.assertEqual(self.pauses, [0.2, 0.4, 0.8])
        self.assertEqual(len(self.logged.records), 3)

    async def test_too_many_failures_end_supervisor_with_exception_group(self):
        cancelled = []

        async def sibling():
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.append(True)
                raise

        with self.assertRaises(ExceptionGroup) as caught:
            await self.run_bounded(self.failing(100), Child("sibling", sibling))
        (fault,) = caught.exception.exceptions
        self.assertIsInstance(fault, Fault)
        self.assertEqual(self.runs, supervisor.MAX_FAILURES + 1)
        self.assertEqual(cancelled, [True])

    async def test_failures_outside_the_window_do_not_count(self):
        self.seconds_per_pause = supervisor.FAILURE_WINDOW_SECONDS + 1
        parent = await self.run_bounded(self.failing(20))
        self.assertEqual(parent.restarts, {"failing": 20})
        self.assertEqual(set(self.pauses), {supervisor.INITIAL_BACKOFF_SECONDS})

    async def test_cancelled_child_is_not_restarted(self):
        started = asyncio.Event()

        async def run():
            self.runs += 1
            started.set()
            await asyncio.Event().wait()

        parent = Supervisor("tests", [Child("waiting", run)])
        task = asyncio.create_task(parent.run())
        async with asyncio.timeout(WAIT):
            await started.wait()
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
        self.assertEqual((self.runs, parent.restarts), (1, {"waiting": 0}))

    async def test_backoff_is_bounded(self):
        self.assertEqual(backoff_seconds(5), 3.2)
        self.assertEqual(backoff_seconds(30), supervisor.MAX_BACKOFF_SECONDS)
