"""Base test case for the memberships of several daemons in one process."""

import asyncio
import contextlib
import unittest

from papayabay_daemon._internal.membership import Membership
from tests.lib.cluster_fakes import (
    LinkNetwork,
    MemoryTable,
    make_settings,
    seeded_rng,
    wait_for_condition,
)


class ClusterTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs memberships on loopback sockets, with in-memory links and table."""

    def setUp(self):
        self.table = MemoryTable()
        self.network = LinkNetwork()
        self.tasks = {}

    async def asyncTearDown(self):
        for task in list(self.tasks.values()):
            await self.stop_task(task)

    async def stop_task(self, task):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def start(self, name, domain="d1", gossip_port=0, **timing):
        settings = make_settings(name, domain, **timing)
        vm = settings.vm.model_copy(update={"gossip_port": gossip_port})
        settings = settings.model_copy(update={"vm": vm})
        links = self.network.links(name)
        node = Membership(settings, self.table, links, seeded_rng(name))
        node.set_ports(1, 2)
        await node.start()
        self.tasks[name] = asyncio.create_task(node.run())
        return node

    async def crash(self, name):
        self.network.partitioned.add(name)
        await self.stop_task(self.tasks.pop(name))

    async def start_many(self, names):
        nodes = [await self.start(name) for name in names]
        await self.all_see(nodes, len(nodes))
        return nodes

    async def all_see(self, nodes, count):
        """Wait until each node has `count` live members."""
        for node in nodes:
            await wait_for_condition(
                lambda n=node: len(n.live()) == count, node.on_change
            )
