"""Tests of closing the daemon."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from papayabay_daemon._internal import lifecycle


class ClosingTest(unittest.IsolatedAsyncioTestCase):
    @mock.patch.object(lifecycle, "CLOSE_TIMEOUT_SECONDS", 0.05)
    async def test_component_that_does_not_close_does_not_delay_the_exit(self):
        """A drained daemon must exit before the platform kills it.

        After the drain, doors and links waited one after the other for the
        tasks that they had cancelled, longer than the platform's grace period.
        """
        closing = asyncio.Event()

        async def close():
            closing.set()
            await asyncio.Event().wait()

        supervision = asyncio.create_task(asyncio.Event().wait())
        daemon_lifecycle = lifecycle.Lifecycle(SimpleNamespace(close=close))
        await asyncio.wait_for(daemon_lifecycle.close_within_limit(supervision), 10)
        self.assertTrue(closing.is_set())
        self.assertTrue(supervision.cancelled())
