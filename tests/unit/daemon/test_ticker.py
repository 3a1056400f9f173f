"""Tests of the common time base of periodic tasks."""

import asyncio
import unittest

from papayabay_daemon._internal.ticker import Ticker
from tests.lib.virtual_time import run_in_virtual_time


async def wake_times(ticker, period, count):
    """Return the times, to the millisecond, at which a task wakes up."""
    loop = asyncio.get_running_loop()
    times = []
    for _ in range(count):
        await ticker.sleep(period)
        times.append(round(loop.time(), 3))
    return times


class TickerTests(unittest.TestCase):
    def test_tasks_with_the_same_period_wake_up_together(self):
        """Guards against one wake-up of the process for each idle task."""

        async def run():
            ticker = Ticker()
            first = asyncio.ensure_future(wake_times(ticker, 0.2, 6))
            await asyncio.sleep(0.37)
            second = await wake_times(ticker, 0.2, 3)
            return await first, second

        first, second = run_in_virtual_time(run)
        self.assertEqual(first, [1000.2, 1000.4, 1000.6, 1000.8, 1001.0, 1001.2])
        self.assertLess(set(second), set(first))

    def test_interval_stays_within_half_a_period_of_the_period(self):
        """Guards against a task that spins, or skips checks, after a delay."""

        async def run():
            ticker = Ticker()
            loop = asyncio.get_running_loop()
            await ticker.sleep(0.2)
            intervals = []
            for delay in range(0, 400, 7):
                await asyncio.sleep(delay / 1000)
                started = loop.time()
                await ticker.sleep(0.2)
                intervals.append(loop.time() - started)
            return intervals

        for interval in run_in_virtual_time(run):
            self.assertGreater(interval, 0.099)
            self.assertLess(interval, 0.301)
