"""The call timeout behaves like `asyncio.timeout`."""

import asyncio
import unittest

from papayabay_daemon._internal.lifetime.timeouts import CallTimeout

LONG_SECONDS = 60.0


class CallTimeoutTests(unittest.IsolatedAsyncioTestCase):
    async def test_expiry_raises_timeout_and_leaves_no_cancellation(self):
        for seconds in (-1.0, 0.0, 0.01):
            with self.assertRaises(TimeoutError):
                with CallTimeout(seconds):
                    await asyncio.Event().wait()
            self.assertEqual(asyncio.current_task().cancelling(), 0)
            await asyncio.sleep(0)

    async def test_normal_exit_and_error_stop_the_timer(self):
        with CallTimeout(LONG_SECONDS) as timeout:
            await asyncio.sleep(0)
        self.assertTrue(timeout.timer.cancelled())
        with self.assertRaises(KeyError):
            with CallTimeout(LONG_SECONDS) as timeout:
                raise KeyError
        self.assertTrue(timeout.timer.cancelled())

    async def test_cancellation_from_elsewhere_propagates(self):
        await self.check_cancelled(lambda timeout, task: task.cancel())

    async def test_cancellation_together_with_expiry_propagates(self):
        """A task kept running after its caller had left at the deadline.

        The caller's leaving and the timeout cancel the task in the same
        iteration of the event loop, but the task sees one cancellation. If
        that was attributed to the timeout, the task continued with no caller.
        """

        def expire_and_cancel(timeout, task):
            timeout.expire()
            task.cancel()

        await self.check_cancelled(expire_and_cancel)

    async def check_cancelled(self, cancel):
        started = asyncio.get_running_loop().create_future()

        async def work():
            with CallTimeout(LONG_SECONDS) as timeout:
                started.set_result(timeout)
                await asyncio.Event().wait()

        task = asyncio.create_task(work())
        cancel(await started, task)
        with self.assertRaises(asyncio.CancelledError):
            await task

    async def test_inner_expiry_does_not_expire_the_outer_timeout(self):
        with CallTimeout(LONG_SECONDS) as outer:
            with self.assertRaises(TimeoutError):
                with CallTimeout(0.0):
                    await asyncio.Event().wait()
            await asyncio.sleep(0)
        self.assertFalse(outer.expired)
