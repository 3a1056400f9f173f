"""Upstreams that name a limit, or that they leave, in their answers."""

import asyncio
import time

from tests.functional.platform_support import PlatformTestCase

LIMIT = 0.5
"""Requests per second that the upstream names."""
SENT = 60
SLACK = 5
"""Requests that the platform allows beyond 1.5 times the limit."""


class LimitTest(PlatformTestCase):
    async def test_upstream_gets_no_more_requests_than_the_limit_it_names(self):
        """An upstream got all requests although it had named a limit."""
        upstream = self.vms[1].upstream
        upstream.extra_fields = {"Server-Limit": str(LIMIT)}
        await self.send("/read/first")
        before, started = len(upstream.executed), time.monotonic()
        answers = await asyncio.gather(*(self.send("/read/x") for _ in range(SENT)))
        elapsed = time.monotonic() - started
        reached = len(upstream.executed) - before
        self.assertLessEqual(reached, 1.5 * LIMIT * elapsed + SLACK)
        refused = [fields for status, fields, _ in answers if status == 503]
        self.assertEqual(len(refused), SENT - reached)
        self.assertTrue(all(float(one["Retry-After"]) > 0 for one in refused))

    async def test_upstream_that_says_it_leaves_gets_no_new_requests(self):
        """An upstream got requests after it had said in an answer it leaves.

        Its heartbeats still tell that it is ready.
        """
        upstream = self.vms[1].upstream
        upstream.extra_fields = {"Server-Leaving": "1"}
        status, fields, _ = await self.send("/read/last")
        self.assertEqual((status, fields["Server-Leaving"]), (200, "1"))
        upstream.extra_fields = {}
        beat, served = upstream.sequence, len(upstream.executed)

        async def sent_heartbeats():
            return upstream.sequence > beat + 2

        await self.wait_until(sent_heartbeats)
        status, fields, _ = await self.send("/read/1")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", fields)
        self.assertEqual(len(upstream.executed), served)
