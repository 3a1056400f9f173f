"""Heartbeats and liveness checks of idle links."""

import asyncio
import dataclasses

from papayabay_core.calls import Answer, Body
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links.limits import (
    KEEPALIVE_SECONDS,
    RARE_STAMP_SECONDS,
    STAMP_SECONDS,
)
from papayabay_daemon._internal.links.liveness import LivenessDetector
from tests.unit.daemon.links_support import (
    TIMEOUT_SECONDS,
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.005)

    def count_pings(self, link):
        """Record the heartbeats one end receives; set an event at `PINGS`."""
        seen, enough = [], asyncio.Event()
        receive = link.receivers["ping"]

        def counted(stamp):
            seen.append(stamp)
            if len(seen) >= PINGS:
                enough.set()
            receive(stamp)

        link.receivers["ping"] = counted
        return seen, enough

    async def test_slow_call_on_an_idle_link_is_not_lost(self):
        """Calls on links that had been idle ended with effect `unknown`.

        Nothing is received for 20 s because nothing is expected; then a call
        is sent, and the liveness check runs before its answer. The idle time
        before the call must not count as silence.
        """
        _, enough = self.count_pings(self.other)

        async def after_some_pings(call, peer):
            await enough.wait()
            return Answer(200, [], Body())

        self.serve(after_some_pings)
        self.link.last_received = now() - IDLE_FOR_SECONDS
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await self.a.call(self.peer, make_call("/slow"))
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.a.counters.links_silent, 0)

    async def test_idle_link_sends_no_heartbeats(self):
        """A hundred idle links took 78 KB and 805 frames a second.

        Both ends sent a heartbeat every half second, even when no answer was
        expected.
        """
        await self.until(lambda: self.link.pending_ping_us is None)
        await self.until(lambda: self.other.pending_ping_us is None)
        seen, _ = self.count_pings(self.other)
        intervals = []
        heartbeat_interval = self.link.heartbeat_interval

        def counted(detector):
            intervals.append(heartbeat_interval(detector))
            return intervals[-1]

        self.link.heartbeat_interval = counted
        await self.until(lambda: len(intervals) > 2 * PINGS)
        self.assertEqual(seen, [])

    async def test_one_task_checks_all_links(self):
        """A daemon of a large fleet woke up 350 times a second when idle.

        Each of its seventy links had its own task, whose timer fired five
        times a second.
        """
        before = len(asyncio.all_tasks())
        await self.a.dialler.dial(self.b.local)
        await self.a.dialler.dial(self.b.local)
        self.assertGreaterEqual(len(self.a.heartbeats.links), 3)
        self.assertEqual(len(asyncio.all_tasks()), before)

    async def test_a_delayed_check_keeps_a_peer_unresponsive(self):
        """An unresponsive peer got calls again until the next check.

        The local process pauses, so that the next liveness check is late. A
        late check reports no peer as silent, which must not be taken for a
        response of the peer.
        """
        self.link.heartbeats_ended.cancel()
        self.link.set_unresponsive(True)
        detector = LivenessDetector(self.a.settings.timing, 0.0)
        self.link.check_liveness(detector, 100.0)
        self.assertTrue(self.link.unresponsive)

    async def test_an_error_in_a_liveness_check_closes_only_that_link(self):
        await self.a.dialler.dial(self.peer)
        newest = self.a.live_link("b")

        def broken(detector, moment):
            raise RuntimeError("broken")

        self.link.check_liveness = broken
        await self.until(lambda: self.link.closed)
        self.assertFalse(newest.closed)

    async def test_the_accepting_end_waits_longer_before_a_heartbeat(self):
        """Both ends of an idle link sent a heartbeat at the same time.

        That took 11 B a second on each idle link. Both ends receive the last
        frame at about the same time, so they must not wait equally long.
        """
        detector = LivenessDetector(self.a.settings.timing, now())
        for end in (self.link, self.other):
            await self.until(lambda end=end: not end.expects_answer())
        waits = [end.heartbeat_interval(detector) for end in (self.link, self.other)]
        self.assertEqual(waits, [KEEPALIVE_SECONDS, KEEPALIVE_SECONDS + 3])

    async def test_only_an_end_that_sends_calls_stamps_often(self):
        """A busy link carried two extra frames every half minute.

        The end that only answers sent clock stamps as often as the end that
        calls, because answers contain no stamp and stamps seemed overdue.
        Stamps are only used for the delay of calls.
        """
        for end in (self.link, self.other):
            end.heartbeats_ended.cancel()
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

    async def test_idle_link_is_closed_after_an_unanswered_heartbeat(self):
        """A call was lost on a connection that had been dead for minutes.

        A middlebox drops the state of an idle connection, then a heartbeat is
        due on it. The link must time out even without calls in flight.
        """
        await self.until(lambda: self.link.pending_ping_us is None)
        self.relay.silent = True
        self.link.last_received = now() - 2 * IDLE_FOR_SECONDS
        await self.until(lambda: self.link.closed)
        self.assertEqual(self.a.counters.links_silent, 1)
