import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from papayabay_daemon._internal import lifecycle


class ClosingTest(unittest.IsolatedAsyncioTestCase):
    @mock.patch.object(lifecycle, "CLOSE_SECONDS", 0.05)
    async def test_a_part_that_does_not_close_holds_up_no_end(self):
        """A daemon was killed at the end of its grace time.

        Everything was drained, or cut when its time was over; then doors and
        links waited, one after the other, for what they had cancelled.
        """
        closing = asyncio.Event()

        async def close():
            closing.set()
            await asyncio.Event().wait()

        supervision = asyncio.create_task(asyncio.Event().wait())
        life = lifecycle.Lifecycle(SimpleNamespace(close=close))
        await asyncio.wait_for(life.close_soon(supervision), 10)
        self.assertTrue(closing.is_set())
        self.assertTrue(supervision.cancelled())
