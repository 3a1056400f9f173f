"""Heartbeats of links that carry little or nothing."""

import asyncio
import dataclasses

from papayabay_core.calls import Answer, Body
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.limits import (
    QUIET_SECONDS,
    RARE_STAMP_SECONDS,
    STAMP_SECONDS,
)
from papayabay_daemon._internal.links.silence import SilenceWatch
from tests.unit.daemon.links_support import (
    BOUND,
    LinksTestCase,
    echo_path,
    make_call,
    make_links,
)
from tests.unit.daemon.test_links_silence import Relay

PINGS = 3
IDLE_FOR_SECONDS = 20.0


class IdleLinkTests(LinksTestCase):
    async def asyncSetUp(self):
        fast = {"link_heartbeat_ms": 40, "link_silence_ms": 200}
        self.a = await self.started(make_links("a", **fast))
        self.b = await self.started(make_links("b", **fast))
        self.relay = Relay(self.b.local.link_port)
        port = await self.relay.start()
        self.addAsyncCleanup(self.relay.close)
        self.peer = dataclasses.replace(self.b.local, link_port=port)
        self.serve(echo_path)
        await self.a.call(self.peer, make_call("/first"))
        self.link = self.a.live_link("b")
        self.other = self.b.live_link("a")

    async def until(self, condition):
        async with asyncio.timeout(BOUND):
            while not condition():
                await asyncio.sleep(0.005)

    def count_pings(self, link):
        """Count the heartbeats that reach one end; set an event at some."""
        seen, enough = [], asyncio.Event()
        receive = link.receivers["ping"]

        def counted(stamp):
            seen.append(stamp)
            if len(seen) >= PINGS:
                enough.set()
            receive(stamp)

        link.receivers["ping"] = counted
        return seen, enough

    async def test_call_after_long_quiet_is_not_lost(self):
        """A slow call on a link that was idle gets its answer.

        Symptom: calls after a quiet time were `unknown`. Sequence: nothing
        is heard for 20 s because nothing is owed, then a call is sent, then
        the heartbeat timer runs before its answer. Cause: the quiet time
        before the call was counted as silence.
        """
        _, enough = self.count_pings(self.other)

        async def after_some_pings(call, peer):
            await enough.wait()
            return Answer(200, [], Body())

        self.serve(after_some_pings)
        self.link.last_heard = now() - IDLE_FOR_SECONDS
        async with asyncio.timeout(BOUND):
            answer = await self.a.call(self.peer, make_call("/slow"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.a.counters.links_silent, 0)

    async def test_idle_link_sends_no_heartbeats(self):
        """A link with nothing owed on it stays quiet.

        Symptom: 100 idle links took 78 KB and 805 frames a second.
        Sequence: links are opened and not used. Cause: both ends sent a
        heartbeat every half second, whatever was owed.
        """
        await self.until(lambda: self.link.ping_us is None)
        await self.until(lambda: self.other.ping_us is None)
        seen, _ = self.count_pings(self.other)
        beats = []
        patience = self.link.patience

        def counted(watch):
            beats.append(patience(watch))
            return beats[-1]

        self.link.patience = counted
        await self.until(lambda: len(beats) > 2 * PINGS)
        self.assertEqual(seen, [])

    async def test_all_links_are_looked_at_in_one_turn(self):
        """A daemon of a large fleet woke up 350 times a second for nothing.

        It has seventy links, each with a timer of its own that ran out five
        times a second. Cause: one task for each link.
        """
        before = len(asyncio.all_tasks())
        await self.a.dialler.dial(self.b.local)
        await self.a.dialler.dial(self.b.local)
        self.assertGreaterEqual(len(self.a.beats.links), 3)
        self.assertEqual(len(asyncio.all_tasks()), before)

    async def test_a_late_beat_takes_no_doubt_back(self):
        """A peer that owed an answer got calls again for a moment.

        Sequence: its link is in doubt; the own process pauses, so that the
        next beat is late. Cause: a late beat judges nobody silent, which was
        taken for a sign of life.
        """
        self.link.heart.cancel()
        self.link.set_doubt(True)
        watch = SilenceWatch(self.a.settings.timing, 0.0)
        self.link.beat(watch, 100.0)
        self.assertTrue(self.link.doubted)

    async def test_a_fault_in_one_heartbeat_ends_that_link_alone(self):
        await self.a.dialler.dial(self.peer)
        newest = self.a.live_link("b")

        def broken(watch, moment):
            raise RuntimeError("broken")

        self.link.beat = broken
        await self.until(lambda: self.link.closed)
        self.assertFalse(newest.closed)

    async def test_one_end_asks_after_a_quiet_time(self):
        """Both ends of a quiet link sent a heartbeat at the same moment.

        Symptom: 11 B a second on each idle link. Cause: both ends heard the
        last frame at the same time and waited equally long.
        """
        watch = SilenceWatch(self.a.settings.timing, now())
        for end in (self.link, self.other):
            await self.until(lambda end=end: not end.is_owed())
        waits = [end.patience(watch) for end in (self.link, self.other)]
        self.assertEqual(waits, [QUIET_SECONDS, QUIET_SECONDS + 3])

    async def test_only_an_end_that_calls_shows_its_clock_often(self):
        """An end that only answers sent its clock as often as one that calls.

        Symptom: two frames each half minute on links with calls all the
        time. Cause: answers carry no stamp, so stamps seemed overdue, while
        they are only used to judge calls.
        """
        for end in (self.link, self.other):
            end.heart.cancel()
        moment = now()
        self.link.stamp_due(moment)
        self.other.stamp_due(moment)
        for ahead, called, answered in (
            (STAMP_SECONDS / 2, False, False),
            (STAMP_SECONDS + 1, True, False),
            (RARE_STAMP_SECONDS + 1, True, True),
        ):
            self.assertEqual(self.link.stamp_due(moment + ahead), called)
            self.assertEqual(self.other.stamp_due(moment + ahead), answered)

    async def test_idle_link_that_went_silent_is_dropped(self):
        """An unanswered heartbeat ends a link that has no calls.

        Symptom: a call was lost to a connection dead for minutes. Sequence:
        a middlebox forgets an idle connection, the rare heartbeat falls due
        on it. Cause: silence was only judged while calls were in flight.
        """
        await self.until(lambda: self.link.ping_us is None)
        self.relay.silent = True
        self.link.last_heard = now() - 2 * IDLE_FOR_SECONDS
        await self.until(lambda: self.link.closed)
        self.assertEqual(self.a.counters.links_silent, 1)
