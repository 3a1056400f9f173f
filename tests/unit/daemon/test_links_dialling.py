"""Tests of the backoff after failed dials, and of silent links."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from papayabay_core.errors import CallError
from papayabay_core.utils.clock import now
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


class SilentLinkTests(unittest.IsolatedAsyncioTestCase):
    """Links that are replaced while a request on them is unanswered."""

    def links_with(self, silent_s, open_s):
        """Return links with one link of the peer, and that link."""
        links = make_links("d1")
        self.dials = 0
        link = SimpleNamespace(
            since=now() - open_s,
            seconds_silent=lambda: silent_s,
            send_ping=mock.Mock(),
        )
        links.entry_of(PEER.name).links.append(link)

        async def dial(peer):
            self.dials += 1
            links.entry_of(peer.name).links.append(mock.Mock())

        links.dialler.dial = dial
        return links, link

    async def test_silent_link_is_replaced_and_checked(self):
        """A request over a link that had gone silent took a second."""
        links, link = self.links_with(silent_s=2.0, open_s=9.0)
        self.assertTrue(await links.replace_silent_link(PEER, 0.1))
        self.assertEqual(self.dials, 1)
        link.send_ping.assert_called_once_with()

    async def test_link_that_the_peer_has_just_opened_is_used(self):
        """A pull waited for 1 s on a silent link though a new one was open.

        The peer had opened it for its push, and as that was not silent, the
        pull counted as unanswered by a slow peer.
        """
        links, _ = self.links_with(silent_s=0.05, open_s=0.06)
        self.assertTrue(await links.replace_silent_link(PEER, 0.1))
        self.assertEqual(self.dials, 0)

    async def test_link_of_a_slow_peer_is_kept(self):
        """Guards against a new link for each request under load."""
        links, _ = self.links_with(silent_s=0.05, open_s=9.0)
        self.assertFalse(await links.replace_silent_link(PEER, 0.1))
        self.assertEqual(self.dials, 0)
