import asyncio
import contextlib
import unittest

from papayabay_core.configuration import ConfigurationLog, new_patch
from papayabay_core.exceptions import PlatformError
from papayabay_daemon._internal.configuration import ConfigurationManager
from papayabay_daemon._internal.configuration.messages import Offer
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.packets import Update
from tests.lib.cluster_fakes import (
    BOUND_SECONDS,
    LinkNetwork,
    MemoryTable,
    make_settings,
    seeded_rng,
    wait_for_condition,
)

NODES = 20


class MemoryObjects:
    """An object store that is down whenever a table is."""

    def __init__(self, table):
        self.table = table
        self.objects = {}

    async def get(self, name):
        self.table.check()
        return self.objects.get(name)

    async def put(self, name, content):
        self.table.check()
        self.objects[name] = content

    async def delete(self, name):
        self.table.check()
        self.objects.pop(name, None)


class Node:
    """The membership and the configuration of one daemon."""

    def __init__(self, test, name, domain):
        slow = {"gossip_period_ms": 200, "suspicion_ms": 5_000}
        settings = make_settings(name, domain, **slow)
        links = test.network.links(name)
        self.members = Membership(settings, test.table, links, seeded_rng(name))
        self.members.set_ports(1, 2)
        self.configuration = ConfigurationManager(
            settings, test.log, self.members, links, seeded_rng(name)
        )
        self.changed = asyncio.Event()
        self.versions = []
        self.configuration.on_change(self.record)

    def record(self, policy):
        self.versions.append(policy.version)
        self.changed.set()

    async def run(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(self.members.run())
            group.create_task(self.configuration.run())

    async def reaches(self, version):
        """Wait until a version is in force."""
        async with asyncio.timeout(BOUND_SECONDS):
            while self.configuration.policy.version < version:
                self.changed.clear()
                await self.changed.wait()


class PropagationTest(unittest.IsolatedAsyncioTestCase):
    """Propagation of versions through a cluster, with and without a store."""

    def setUp(self):
        self.table = MemoryTable()
        self.log = ConfigurationLog(self.table, MemoryObjects(self.table))
        self.network = LinkNetwork()
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def start(self, name, domain="d1"):
        node = Node(self, name, domain)
        await node.members.start()
        self.tasks.append(asyncio.create_task(node.run()))
        return node

    async def commit(self, base):
        patch = new_patch(base, {"services": {"shop": {"deadline_ms": base + 9}}})
        await self.log.commit(patch)
        return patch

    async def all_joined(self, nodes):
        """Wait until all nodes have loaded and know each other."""
        count = len(nodes)
        for node in nodes:
            await asyncio.wait_for(node.configuration.loaded.wait(), BOUND_SECONDS)
            members = node.members
            await wait_for_condition(
                lambda m=members: len(m.live()) == count, members.on_change
            )

    async def start_many(self, count):
        nodes = [await self.start(f"n{i}", f"d{i % 4}") for i in range(count)]
        await self.all_joined(nodes)
        return nodes

    async def test_patch_reaches_all_when_the_store_fails_after_the_commit(self):
        """A committed change stayed at one daemon for a store outage.

        The store went down right after the commit. Only the daemon to which
        the operator's command had sent the patch had it. Cause: versions
        propagated by reads of the store alone.
        """
        await self.commit(0)
        nodes = await self.start_many(NODES)
        for node in nodes:
            await node.reaches(1)
        patch = new_patch(1, {"services": {"bank": {"deadline_ms": 77}}})
        self.table.down = True
        self.network.bytes.clear()
        nodes[7].configuration.apply_patches([patch])
        for node in nodes:
            await node.reaches(2)
            self.assertEqual(node.versions, sorted(set(node.versions)))
        pulled_bytes = self.network.bytes["config-tail"]
        self.assertLess(pulled_bytes, 3 * NODES * 500)

    async def test_readers_propagate_a_commit_to_all(self):
        nodes = await self.start_many(12)
        for base in range(3):
            await self.commit(base)
        for node in nodes:
            await node.reaches(3)
        picked = {"d0": [], "d1": [], "d2": [], "d3": []}
        for node in nodes:
            readers = node.configuration.readers.pick(node.members.live())
            names = sorted(member.name for member in readers)
            picked[node.members.local.failure_domain].append(names)
        for views in picked.values():
            self.assertEqual(views, [views[0]] * 3)
            self.assertEqual(len(views[0]), 2)

    async def test_start_in_an_outage_loads_the_highest_version_unconfirmed(self):
        """A daemon that started in an outage took an old version as confirmed.

        A peer's confirmation counts only if it is recent and for the same
        version.
        """
        await self.commit(0)
        a = await self.start("a")
        b = await self.start("b")
        await self.all_joined([a, b])
        self.table.down = True
        late = Node(self, "late", "d1")
        for peer in (a, b):
            local = peer.members.local
            late.members.table.add(update_of(local))
        b.configuration.apply_patches([new_patch(1, {"services": {"x": {}}})])
        self.network.partitioned.add("a")
        a.configuration.puller.offers.clear()
        await late.configuration.load_first()
        status = late.configuration.status()
        self.assertEqual((status["version"], status["confirmed"]), (2, False))
        self.assertFalse(status["store_reachable"])
        late.configuration.loaded.set()
        late.configuration.state.receive_confirmation(Offer(2, 3_600.0))
        late.configuration.state.receive_confirmation(Offer(1, 0.5))
        self.assertFalse(late.configuration.confirmed)
        late.configuration.state.receive_confirmation(Offer(2, 0.5))
        self.assertTrue(late.configuration.confirmed)

    async def test_stale_reads_are_ignored(self):
        """A stale read of the head put an older version in force again."""
        for base in range(3):
            await self.commit(base)
        node = Node(self, "a", "d1")
        await node.configuration.load_first()
        old = self.table.rows["config/head"]
        await self.commit(3)
        await node.configuration.store.read()
        self.table.rows["config/head"] = old
        await node.configuration.store.read()
        self.assertEqual(node.configuration.policy.version, 4)
        self.assertEqual(node.configuration.counts["stale_reads"], 1)
        self.assertEqual(node.versions, [3, 4])

    async def test_daemon_recovers_after_store_failures(self):
        node = Node(self, "a", "d1")
        self.table.down = True
        for _ in range(3):
            await node.configuration.store.read()
        self.assertEqual(node.configuration.counts["store_errors"], 3)
        self.table.down = False
        await self.commit(0)
        await node.configuration.store.read()
        self.assertTrue(
            node.configuration.store_reachable and node.configuration.confirmed
        )

    async def test_large_versions_and_patches_are_sent_in_chunks(self):
        """A new daemon never got a large policy from its peers.

        The full version did not fit into one link message. Cause: it was
        sent in a single answer of any size.
        """
        calls = {
            f"c{i}": {"methods": ["GET"], "path": "/" + "x" * 900} for i in range(200)
        }
        node = Node(self, "a", "d1")
        for base in range(8):
            changes = {"services": {f"s{base}": {"calls": calls}}}
            node.configuration.apply_patches([new_patch(base, changes)])
        lagging, new = Node(self, "b", "d1"), Node(self, "c", "d1")
        lagging.configuration.apply_patches(
            node.configuration.version.history.after(0)[:1]
        )
        for version in (3, 5, 7, 8):
            self.assertTrue(await lagging.configuration.puller.pull(node.members.local))
            self.assertEqual(lagging.configuration.policy.version, version)
        node.configuration.version.history.clear()
        self.assertTrue(await new.configuration.puller.pull(node.members.local))
        self.assertEqual(
            new.configuration.current.values, node.configuration.current.values
        )

    async def test_pull_without_the_offered_version_is_a_failure(self):
        """A peer that offered a version but did not send it was asked again.

        Cause: its answer counted as a success, so that there was no backoff.
        """
        node, other = Node(self, "a", "d1"), Node(self, "b", "d1")

        async def claim(payload, peer):
            return Offer(9, None).encode()

        self.network.handlers["a"]["config-tail"] = claim
        self.assertFalse(await other.configuration.puller.pull(node.members.local))

    async def test_offer_of_a_peer_that_has_gone_back_is_dropped(self):
        """A peer that restarted with an older version was asked without end.

        Its offer from before stayed, and its answer counted as a success.
        """
        node, other = Node(self, "a", "d1"), Node(self, "b", "d1")
        await self.commit(0)
        await self.commit(1)
        await other.configuration.load_first()
        other.members.table.add(update_of(node.members.local))
        other.configuration.puller.note_offer(9, "a")
        self.assertTrue(await other.configuration.puller.pull(node.members.local))
        offers = other.configuration.puller.offers
        self.assertIsNone(offers.next_peer(()))
        self.assertEqual(len(offers), 0)

    async def test_lagging_peer_gets_the_full_version(self):
        node, other = Node(self, "a", "d1"), Node(self, "b", "d1")
        for base in range(2):
            await self.commit(base)
        await node.configuration.load_first()
        self.assertTrue(
            await other.configuration.puller.pull(node.members.local),
        )
        self.assertEqual(other.configuration.policy.version, 2)
        with self.assertRaises(PlatformError):
            self.table.down = True
            await self.log.head()
        self.network.partitioned.add("a")
        self.assertFalse(await other.configuration.puller.pull(node.members.local))
        self.assertEqual(other.configuration.counts["pull_errors"], 1)


def update_of(member):
    """Return a full update with a copy of a member."""
    copy = type(member)(*(getattr(member, name) for name in member.__slots__))
    return Update(copy.name, copy.incarnation, copy.state, copy)
