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
"""An answer of the store, as its operators state it."""
MANY = {"gossip_period_ms": 500, "suspicion_ms": 3_000}
"""Periods for two dozen daemons in one process. With a twentieth of a second,
as elsewhere here, its loop lags behind by a whole period, and all of them
declare each other dead without end: in three of nine runs some never saw all.
"""


async def note_write(written):
    written.set()


class EndOfTest(Exception):
    """Ends a loop that has none."""


def count_calls(method, name, calls):
    """Return a method that counts its calls."""

    async def counted(*args, **kwargs):
        calls[name] += 1
        await asyncio.sleep(STORE_SECONDS)
        return await method(*args, **kwargs)

    return counted


class JoiningTest(ClusterTestCase):
    """How daemons find each other."""

    async def test_seeds_that_the_store_has_lost_are_written_again(self):
        """Whoever starts finds nobody for a minute.

        Sequence: the store comes back from an older copy, without the rows;
        one daemon hears of it, which is not the one that keeps the row.
        """
        self.table.era.note(1)
        await self.start_many("ab")
        written = asyncio.Event()
        async with asyncio.timeout(BOUND_SECONDS):
            while f"{PREFIX}d1" not in self.table.rows:
                await asyncio.sleep(0.01)
            self.table.rows.clear()
            self.table.before_write = partial(note_write, written)
            self.table.era.note(2)
            await written.wait()

    async def test_who_restarts_while_the_store_is_away_is_found_at_once(self):
        """A restarted daemon knew nobody for the length of a store outage.

        Its process is killed while the store is away, and starts again at
        the same address. It can't read the seeds; those who lost it ask one
        of the dead in ten periods, and it may be the last one's turn.
        """
        a, b, c = await self.start_many("abc")
        port = b.local.gossip_port
        await self.crash("b")
        await self.crash("c")
        await self.all_see((a,), 1)
        self.table.down = True
        self.network.partitioned.discard("b")
        begun = a.detector.periods
        b = await self.start("b", gossip_port=port)
        await self.all_see((a, b), 2)
        self.assertLess(a.detector.periods - begun, 8)

    async def test_all_who_start_together_meet_without_gossip(self):
        """After a restart of all, calls found no upstream for two seconds.

        Sequence: all daemons start within 0.3 s; each asks the first seed
        that answers, and hears of those who were there before it. Cause: the
        others were left to gossip, which takes some periods.
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
            mock.patch.object(Joining, "tend_seeds"),
        ):
            again = [
                await self.start(name, gossip_port=ports[name], **slow)
                for name in names
            ]
            await self.all_see(again, len(names))

    async def test_a_new_target_is_told_without_gossip(self):
        """A target that had just started stood idle for seconds.

        Sequence: its daemon has joined, and announces it a moment later.
        Cause: the news went by gossip alone, one member in a period.
        """
        nodes = await self.start_many("abcdefgh")
        await self.all_see(nodes, len(nodes))
        for node in nodes:
            node.detector.start_period = lambda group: None
            node.exchange.reconcile = mock.AsyncMock()
        nodes[0].announce("shop", 4)
        for node in nodes:
            await wait_for_condition(lambda n=node: n.upstreams("shop"), node.on_change)

    async def test_seeds_while_the_store_is_down_then_back(self):
        self.table.down = True
        a = await self.start("a")
        b = await self.start("b", domain="d2")
        failed = asyncio.Event()
        scan = self.table.scan

        async def scan_and_tell(*args, **kwargs):
            failed.set()
            return await scan(*args, **kwargs)

        self.table.scan = scan_and_tell
        await asyncio.wait_for(failed.wait(), 10)
        self.assertEqual(len(a.live()), 1)
        self.table.down = False
        await self.all_see((a, b), 2)
        self.assertTrue(a.status()["store_reachable"])

    async def test_a_domain_that_starts_at_once_asks_the_store_little(self):
        """A restart of 195 daemons took 10 calls of the store each.

        Sequence: all start within moments, find no seeds, and write
        themselves down; most writes meet another and are tried again. Cause:
        each wrote its row until it had met somebody, however many seeds
        stood there already.
        """
        names = [f"n{number}" for number in range(24)]
        calls = Counter()
        for name in ("get", "scan", "write"):
            counted = count_calls(getattr(self.table, name), name, calls)
            setattr(self.table, name, counted)
        starts = (self.start(name, **MANY) for name in names)
        nodes = await asyncio.gather(*starts)
        await self.all_see(nodes, len(names))
        self.assertLessEqual(calls.total(), 4 * len(names), calls)

    async def test_racing_seed_writes_lose_nobody(self):
        """One of two daemons that started together was never found.

        Both read an empty row and wrote it; the later write replaced the
        earlier. Cause: a write without a condition.
        """
        both = asyncio.Barrier(2)

        async def meet():
            if both.n_waiting:
                self.table.before_write = None
            await both.wait()

        self.table.before_write = meet
        nodes = [
            Membership(
                make_settings(n), self.table, self.network.links(n), seeded_rng(n)
            )
            for n in "ab"
        ]
        for port, node in enumerate(nodes, start=1):
            node.table.change_local(gossip_port=port, link_port=port)
        await asyncio.gather(*(node.seeds.keep() for node in nodes))
        names = [entry[0] for entry in self.table.rows[PREFIX + "d1"].value["seeds"]]
        self.assertEqual(sorted(names), ["a", "b"])
        self.assertEqual(sum(node.seeds.conflicts for node in nodes), 1)

    async def test_a_joiner_does_not_gossip_the_whole_list(self):
        """News of a death waited behind thousands of old records.

        A daemon that had just joined gossiped on each record of the list
        that it was given. Cause: the list was taken in as news.
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

    async def test_a_store_that_was_away_for_long_is_noticed_within_two_seconds(self):
        """A fleet met ten seconds after the store was back.

        Sequence: all daemons are killed while the store is away, and start
        again; each finds no seed, and tries again after ever longer pauses.
        Cause: the pauses grew to ten seconds.
        """
        tries = [False] * 9 + [True]
        settings = make_settings("a")
        node = Membership(
            settings, self.table, self.network.links("a"), seeded_rng("a")
        )
        joining = node.joining
        with (
            mock.patch.object(joining, "join", side_effect=tries),
            mock.patch.object(joining, "tend_seeds", side_effect=EndOfTest),
            mock.patch("asyncio.sleep") as sleep,
            self.assertRaises(EndOfTest),
        ):
            await joining.run_seeds()
        pauses = [call.args[0] for call in sleep.await_args_list[: len(tries) - 1]]
        self.assertLessEqual(max(pauses), 2.0)
