"""Tests of requests about versions over links that go silent or are lost."""

import asyncio
import unittest

from papayabay_core.exceptions import LinkLost, ProtocolError
from papayabay_daemon._internal.configuration.messages import PEER_SECONDS
from papayabay_daemon._internal.configuration.requesting import (
    REDIAL_SECONDS,
    request_peer,
)
from papayabay_daemon._internal.interfaces import Member
from tests.lib.virtual_time import run_in_virtual_time

PEER = Member("d2", 1, "127.0.0.1", 1, 1, 1, "d1", "r1")
ANSWER_SECONDS = 0.002


class ScriptedLinks:
    """Links whose requests end as scripted.

    Parameters
    ----------
    outcomes : list of (float, bytes or Exception)
        Seconds after which each request ends, and its answer or error.
    is_silent : bool
        Whether nothing comes over the first link.
    """

    def __init__(self, outcomes, is_silent):
        self.outcomes = outcomes
        self.is_silent = is_silent
        self.requests = 0

    async def request(self, peer, topic, payload, timeout):
        seconds, outcome = self.outcomes[self.requests]
        self.requests += 1
        async with asyncio.timeout(timeout):
            await asyncio.sleep(seconds)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def replace_silent_link(self, peer, seconds):
        return self.is_silent


class PeerRequestTests(unittest.TestCase):
    def request(self, outcomes, is_silent=True):
        """Send a request; return its answer or error, and its seconds."""
        self.links = ScriptedLinks(outcomes, is_silent)

        async def main():
            loop = asyncio.get_running_loop()
            started = loop.time()
            try:
                result = await request_peer(self.links, PEER, "offer", b"")
            except (ProtocolError, TimeoutError) as error:
                result = error
            return result, loop.time() - started

        return run_in_virtual_time(main)

    def test_request_on_a_silent_link_is_answered_over_a_new_one(self):
        """A pull over a silent link failed after 1 s, and the next one too."""
        answer, seconds = self.request([(9.0, b""), (ANSWER_SECONDS, b"new")])
        self.assertEqual(answer, b"new")
        self.assertAlmostEqual(seconds, REDIAL_SECONDS + ANSWER_SECONDS)

    def test_request_on_a_link_that_is_closed_is_sent_again_at_once(self):
        """A pull waited for the backoff of its peer, up to 0.25 s.

        Its link was closed as silent 0.06 s after the request, so that no new
        link was opened.
        """
        lost = (0.06, LinkLost("the link went silent"))
        answer, seconds = self.request([lost, (ANSWER_SECONDS, b"new")])
        self.assertEqual(answer, b"new")
        self.assertAlmostEqual(seconds, 0.06 + ANSWER_SECONDS)

    def test_slow_peer_gets_one_request(self):
        """Guards against twice the requests to a peer under load."""
        answer, seconds = self.request([(0.5, b"late")], is_silent=False)
        self.assertEqual((answer, self.links.requests), (b"late", 1))
        self.assertAlmostEqual(seconds, 0.5)

    def test_late_answer_on_the_first_link_counts(self):
        """Guards against losing an answer when the new link fails."""
        refused = (ANSWER_SECONDS, ProtocolError("refused"))
        answer, _ = self.request([(0.5, b"late"), refused])
        self.assertEqual(answer, b"late")

    def test_request_fails_when_no_link_answers(self):
        """Guards against a request that never ends."""
        error, seconds = self.request([(9.0, b""), (9.0, b"")])
        self.assertIsInstance(error, TimeoutError)
        self.assertAlmostEqual(seconds, REDIAL_SECONDS + PEER_SECONDS)

    def test_refused_request_is_not_sent_again(self):
        refused = (ANSWER_SECONDS, ProtocolError("the peer refused"))
        error, _ = self.request([refused])
        self.assertIsInstance(error, ProtocolError)
        self.assertEqual(self.links.requests, 1)
