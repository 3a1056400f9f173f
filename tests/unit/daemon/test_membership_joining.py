import asyncio
from collections import Counter
from functools import partial
from unittest import mock

from papayabay_core.platform import Put
from papayabay_daemon._internal.interfaces import Member, MemberState
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.detector import Detector
from papayabay_daemon._internal.membership.joining import Joining
from papayabay_daemon._internal.membership.packets import (
    Update,
)
from papayabay_daemon._internal.membership.seeds import PREFIX
from tests.lib.cluster_fakes import (
    BOUND_SECONDS,
    make_settings,
    seeded_rng,
    wait_for_condition,
)
from tests.unit.daemon.membership_support import ClusterTestCase

STORE_SECONDS = 0.005
"""Response time of the store, as its operators state it."""
SLOW_TIMING = {"gossip_period_ms": 500, "suspicion_ms": 3_000}
"""Timing for two dozen daemons in one process. With the period of 50 ms of the
other tests, the event loop lags by a full period and the daemons declare each
other dead again and again: in three of nine runs some never saw all others.
"""


async def set_event(written):
    written.set()


class EndOfTest(Exception):
    """Raised to end an endless loop."""


def count_calls(method, name, calls):
    """Wrap a store method so that it counts its calls and takes time."""

    async def counted(*args, **kwargs):
        calls[name] += 1
        await asyncio.sleep(STORE_SECONDS)
        return await method(*args, **kwargs)

    return counted


class JoiningTest(ClusterTestCase):
    """Joining through seed rows, with and without the store."""

    async def test_seed_rows_that_a_restored_store_lost_are_written_again(self):
        """Starting daemons found no seed for a minute.

        The store is restored from an older copy that lacks the seed rows.
        The daemon that learns of it first is not the writer of its row.
        """
        self.table.era.note(1)
        await self.start_many("ab")
        written = asyncio.Event()
        async with asyncio.timeout(BOUND_SECONDS):
            while f"{PREFIX}d1" not in self.table.rows:
                await asyncio.sleep(0.01)
            self.table.rows.clear()
            self.table.before_write = partial(set_event, written)
            self.table.era.note(2)
            await written.wait()

    async def test_daemon_that_restarts_in_a_store_outage_is_contacted_at_once(self):
        """A restarted daemon knew no other member until a store outage ended.

        Its process is killed during the outage and starts again at the same
        address. It can't read the seed rows. The others pinged only one
        random dead member in ten periods.
        """
        a, b, c = await self.start_many("abc")
        port = b.local.gossip_port
        await self.crash("b")
        await self.crash("c")
        await self.all_see((a,), 1)
        self.table.down = True
        self.network.partitioned.discard("b")
        periods_before = a.detector.periods
        b = await self.start("b", gossip_port=port)
        await self.all_see((a, b), 2)
        self.assertLess(a.detector.periods - periods_before, 8)

    async def test_daemons_that_start_together_join_without_gossip(self):
        """After a restart of the fleet, calls found no upstream for 2 s.

        All daemons start within 0.3 s. Each fetches the members from the
        first seed that answers, which knows only those that started before.
        Cause: the others were found by gossip alone, which takes some
        periods.
        """
        names = "abcdefgh"
        nodes = await self.start_many(names)
        await self.all_see(nodes, len(names))
        ports = {node.local.name: node.local.gossip_port for node in nodes}
        row = {"seeds": [[name, "127.0.0.1", ports[name], 1] for name in names]}
        for name in names:
            await self.crash(name)
        self.table.rows.clear()
        await self.table.write([Put(f"{PREFIX}d1", row)])
        self.network.partitioned.clear()
        slow = {"gossip_period_ms": 600_000}
        with (
            mock.patch.object(Detector, "start_period"),
            mock.patch.object(Joining, "maintain_seeds"),
        ):
            restarted = [
                await self.start(name, gossip_port=ports[name], **slow)
                for name in names
            ]
            await self.all_see(restarted, len(names))

    async def test_new_target_is_announced_without_gossip(self):
        """A target that had just started was idle for seconds.

        Its daemon has joined, and announces it a moment later. Cause: the
        announcement went by gossip alone, to one member per period.
        """
        nodes = await self.start_many("abcdefgh")
        await self.all_see(nodes, len(nodes))
        for node in nodes:
            node.detector.start_period = lambda group: None
            node.exchange.reconcile = mock.AsyncMock()
        nodes[0].announce("shop", 4)
        for node in nodes:
            await wait_for_condition(lambda n=node: n.upstreams("shop"), node.on_change)

    async def test_daemons_join_after_a_store_outage(self):
        self.table.down = True
        a = await self.start("a")
        b = await self.start("b", domain="d2")
        failed = asyncio.Event()
        scan = self.table.scan

        async def scan_and_signal(*args, **kwargs):
            failed.set()
            return await scan(*args, **kwargs)

        self.table.scan = scan_and_signal
        await asyncio.wait_for(failed.wait(), 10)
        self.assertEqual(len(a.live()), 1)
        self.table.down = False
        await self.all_see((a, b), 2)
        self.assertTrue(a.status()["store_reachable"])

    async def test_domain_that_starts_at_once_needs_few_store_calls(self):
        """A restart of 195 daemons took 10 store calls per daemon.

        All start at nearly the same time, find no seeds and add themselves
        to the row; most of these writes conflict and are retried. Cause: each
        daemon wrote the row until it knew another member, however many seeds
        were in it already.
        """
        names = [f"n{number}" for number in range(24)]
        calls = Counter()
        for name in ("get", "scan", "write"):
            counted = count_calls(getattr(self.table, name), name, calls)
            setattr(self.table, name, counted)
        starts = (self.start(name, **SLOW_TIMING) for name in names)
        nodes = await asyncio.gather(*starts)
        await self.all_see(nodes, len(names))
        self.assertLessEqual(calls.total(), 4 * len(names), calls)

    async def test_concurrent_seed_writes_lose_no_seed(self):
        """One of two daemons that started together was never found.

        Both read an empty row and wrote it, and the later write replaced the
        earlier one. Cause: a write without a condition.
        """
        both = asyncio.Barrier(2)

        async def wait_for_both():
            if both.n_waiting:
                self.table.before_write = None
            await both.wait()

        self.table.before_write = wait_for_both
        nodes = [
            Membership(
                make_settings(n), self.table, self.network.links(n), seeded_rng(n)
            )
            for n in "ab"
        ]
        for port, node in enumerate(nodes, start=1):
            node.table.change_local(gossip_port=port, link_port=port)
        await asyncio.gather(*(node.seeds.update_row() for node in nodes))
        names = [entry[0] for entry in self.table.rows[PREFIX + "d1"].value["seeds"]]
        self.assertEqual(sorted(names), ["a", "b"])
        self.assertEqual(sum(node.seeds.conflicts for node in nodes), 1)

    async def test_joining_daemon_does_not_gossip_the_full_list(self):
        """The update on a death was queued behind thousands of old records.

        A daemon that had just joined gossiped on each record of the list
        that it had fetched. Cause: all of them counted as new updates.
        """
        a, b = (
            Membership(
                make_settings(n), self.table, self.network.links(n), seeded_rng(n)
            )
            for n in "ab"
        )
        for number in range(200):
            member = Member(f"x{number}", 1, "127.0.0.1", 1, 1, 1, "d1", "r1")
            a.apply(Update(member.name, 1, MemberState.ALIVE, member))
        a.gossip.updates = type(a.gossip.updates)()
        await b.exchange.join(a.local)
        self.assertEqual(len(b.live()), 202)
        self.assertEqual(len(b.gossip.updates), 0)
        self.assertEqual(list(a.gossip.updates.level_of), ["b"])

    async def test_pause_between_join_attempts_is_at_most_two_seconds(self):
        """A fleet joined only ten seconds after the end of a store outage.

        All daemons are killed during the outage and start again. Each finds
        no seed and attempts again after growing pauses. Cause: the pauses grew
        to ten seconds.
        """
        attempts = [False] * 9 + [True]
        settings = make_settings("a")
        node = Membership(
            settings, self.table, self.network.links("a"), seeded_rng("a")
        )
        joining = node.joining
        with (
            mock.patch.object(joining, "join", side_effect=attempts),
            mock.patch.object(joining, "maintain_seeds", side_effect=EndOfTest),
            mock.patch("asyncio.sleep") as sleep,
            self.assertRaises(EndOfTest),
        ):
            await joining.run_seeds()
        pauses = [call.args[0] for call in sleep.await_args_list[: len(attempts) - 1]]
        self.assertLessEqual(max(pauses), 2.0)
