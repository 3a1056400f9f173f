"""Tests of the backoff after failed dials."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from papayabay_core.errors import CallError
from papayabay_daemon._internal.links import dialling
from papayabay_daemon._internal.links.limits import BACKOFF_MAX_SECONDS
from tests.unit.daemon.links_support import make_links

PEER = SimpleNamespace(name="b", host="127.0.0.1", link_port=1)
FAILURES = 12


class UnreachableDialler(dialling.Dialler):
    """Dials a peer that can't be reached, and counts the dials."""

    dials = 0

    async def open_connection(self, member):
        self.dials += 1
        raise ConnectionRefusedError


class BackoffTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        clock = mock.patch.object(dialling, "now", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)
        links = make_links("a")
        self.dialler = links.dialler = UnreachableDialler(links, random.Random(1))
        self.peer = links.entry_of(PEER.name)

    async def dial(self):
        with self.assertRaises(CallError):
            await self.dialler.dial(PEER)

    async def fail_often(self):
        """Dial after each backoff, as in a long partition."""
        for _ in range(FAILURES):
            await self.dial()
            self.now = max(self.now, self.peer.retry_at)
        self.now = self.peer.retry_at - BACKOFF_MAX_SECONDS / 4

    async def test_contact_ends_the_backoff_of_dials(self):
        """A backoff that grew in a partition went on after it.

        The peer answered probes again, but no link to it was dialled for up
        to 5 s.
        """
        await self.fail_often()
        await self.dial()
        self.assertEqual(self.dialler.dials, FAILURES)
        self.dialler.end_backoff(PEER.name)
        await self.dial()
        self.assertEqual(self.dialler.dials, FAILURES + 1)

    async def test_peers_that_are_not_probed_are_dialled_in_time(self):
        """A link was dialled again only 5 s after a partition."""
        await self.fail_often()
        started, self.now = self.now, self.now + BACKOFF_MAX_SECONDS
        await self.dial()
        self.assertEqual(self.dialler.dials, FAILURES + 1)
        self.assertLess(self.now - started, 3.0)
