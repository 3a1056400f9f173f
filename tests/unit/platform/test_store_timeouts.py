"""Tests of how long a request to a store that went silent lasts."""

import asyncio
import unittest

from papayabay_core.exceptions import PlatformError
from papayabay_platform.store import StoreClient
from tests.lib.cluster_fakes import make_settings
from tests.lib.virtual_time import run_in_virtual_time

SLOW_STORE_SECONDS = 0.25
"""The platform announces slowdowns by a factor of 60, from 4 ms."""
READER_STEP_SECONDS = 10.0 / 6
"""The long polls of a fleet's readers end so far apart."""
IN_FORCE_SECONDS = 2.5
TIMEOUT_SECONDS = 1.0


class SilentRequester:
    """An HTTP client to which the store never answers."""

    async def send(self, method, url, content, query):
        await asyncio.Event().wait()


class SilentStoreTest(unittest.TestCase):
    def seconds_beyond_wait(self, wait_ms):
        """Return how long beyond its wait a request for changes lasts."""

        async def main():
            client = StoreClient(make_settings("d1").platform)
            client.transport.requester = SilentRequester()
            loop = asyncio.get_running_loop()
            started = loop.time()
            with self.assertRaises(PlatformError):
                await client.feed("op", 1, wait_ms)
            return loop.time() - started - wait_ms / 1_000

        return run_in_virtual_time(main)

    def test_unanswered_long_poll_is_noticed_in_time_for_a_new_version(self):
        """A silent long poll lasted 1 s beyond its wait.

        The next reader to notice the silence, up to 1.67 s after a change,
        had the version after 2.67 s.
        """
        for wait_ms in (100, 3_333, 10_000):
            seconds = self.seconds_beyond_wait(wait_ms)
            self.assertLess(READER_STEP_SECONDS + seconds, IN_FORCE_SECONDS)
            self.assertGreaterEqual(seconds, 1.5 * SLOW_STORE_SECONDS)

    def test_request_without_a_wait_keeps_its_timeout(self):
        """Guards against confirmations that fail while the store is slow."""
        self.assertAlmostEqual(self.seconds_beyond_wait(0), TIMEOUT_SECONDS)
