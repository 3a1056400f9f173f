"""The hot path's timeout, held against `asyncio.timeout`."""

import asyncio
import unittest

from papayabay_daemon._internal.lifetime.timeouts import CallTimeout

LONG_SECONDS = 60.0


class LifeTimeoutTests(unittest.IsolatedAsyncioTestCase):
    async def test_expiry_is_a_timeout_and_leaves_no_cancellation(self):
        for seconds in (-1.0, 0.0, 0.01):
            with self.assertRaises(TimeoutError):
                with CallTimeout(seconds):
                    await asyncio.Event().wait()
            self.assertEqual(asyncio.current_task().cancelling(), 0)
            await asyncio.sleep(0)

    async def test_value_and_error_pass(self):
        with CallTimeout(LONG_SECONDS) as timeout:
            await asyncio.sleep(0)
        self.assertTrue(timeout.timer.cancelled())
        with self.assertRaises(KeyError):
            with CallTimeout(LONG_SECONDS) as timeout:
                raise KeyError
        self.assertTrue(timeout.timer.cancelled())

    async def test_cancellation_from_elsewhere_stays_one(self):
        await self.check_cancelled(lambda timeout, task: task.cancel())

    async def test_cancellation_together_with_expiry_stays_one(self):
        """A caller who leaves as the life ends still ends the task.

        The task was cancelled by its caller's leaving and by the timeout in
        the same turn of the loop. Were the one cancellation that the task
        sees taken for the timeout's, the task would go on for nobody.
        """

        def both(timeout, task):
            timeout.expire()
            task.cancel()

        await self.check_cancelled(both)

    async def check_cancelled(self, end):
        started = asyncio.get_running_loop().create_future()

        async def work():
            with CallTimeout(LONG_SECONDS) as timeout:
                started.set_result(timeout)
                await asyncio.Event().wait()

        task = asyncio.create_task(work())
        end(await started, task)
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_inner_expiry_is_not_the_outer_ones(self):
        with CallTimeout(LONG_SECONDS) as outer:
            with self.assertRaises(TimeoutError):
                with CallTimeout(0.0):
                    await asyncio.Event().wait()
            await asyncio.sleep(0)
        self.assertFalse(outer.expired)
