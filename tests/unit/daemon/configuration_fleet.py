"""Simulates the propagation of configuration versions in virtual time.

Membership, the configuration manager and the backoff of dials are real; the
network, links and the store are simulated. Run as a program with a number of
seeds, it plays random faults and prints the seeds with a daemon that is late.
"""

import asyncio
import itertools
import sys
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

from papayabay_daemon._internal.configuration import ConfigurationManager
from papayabay_daemon._internal.configuration.watching import VersionWatcher
from papayabay_daemon._internal.links import dialling, peers
from papayabay_daemon._internal.links.peers import PeerLinks
from papayabay_daemon._internal.membership import Membership
from tests.lib.cluster_fakes import make_settings, seeded_rng
from tests.lib.virtual_time import run_in_virtual_time
from tests.unit.daemon.configuration_network import (
    BUSY,
    SILENT,
    SimulatedDialler,
    SimulatedTable,
    SimulatedTransport,
    SimulatedWatch,
)

CONTACT_S = 3.0
"""Time without disruption after which the bound holds for a daemon."""
BOUND_S = 2.0
STORE_SKEW_S = 5.0
"""Addition to the bound within `CONTACT_S` of a disruption of the store."""
SAMPLE_S = 0.1


class SimulatedDaemon:
    """One process: its membership and its configuration."""

    def __init__(self, fleet, name, domain):
        settings = make_settings(
            name, domain, gossip_period_ms=1_000, suspicion_ms=4_000
        )
        vm = settings.vm.model_copy(update={"host": fleet.hosts[name]})
        settings = settings.model_copy(update={"vm": vm})
        number = next(fleet.numbers)
        rng = seeded_rng(f"{fleet.seed} {name} {number}")
        clock = fleet.clock
        self.started_at = clock()
        self.links = PeerLinks(settings, SimpleNamespace(name=name), rng)
        self.links.fleet = fleet
        self.links.dialler = SimulatedDialler(self.links, rng)
        table = SimulatedTable(fleet, name)
        self.members = Membership(settings, table, self.links, rng, clock)
        self.members.local.incarnation = number << 20
        self.members.gossip.transport = SimulatedTransport(fleet, name)
        self.members.table.change_local(link_port=1, gossip_port=2)
        self.links.local = self.members.local
        self.configuration = ConfigurationManager(
            settings,
            SimulatedWatch(fleet, name),
            self.members,
            self.links,
            rng,
            clock,
            VersionWatcher,
        )
        self.members.on_contact(self.links.dialler.end_backoff)
        self.versions = []
        self.configuration.on_change(self.record)
        self.task = asyncio.ensure_future(self.run())

    def record(self, policy):
        self.versions.append(policy.version)

    @property
    def version(self):
        return self.configuration.current.version

    async def run(self):
        async with asyncio.TaskGroup() as group:
            group.create_task(self.members.run())
            group.create_task(self.configuration.run())

    async def stop(self):
        self.task.cancel()
        with suppress(asyncio.CancelledError):
            await self.task


class ConfigurationFleet:
    """Daemons, their network, and a store with the operator's versions.

    Attributes
    ----------
    cuts : dict of object to callable
        Each returns whether packets from one daemon to another are dropped.
    cut_off : set of str
        Daemons that can't reach the store.
    turned_away : dict of str to str
        Daemons that the store turns away, and how.
    severed : object
        Replaced by `sever_store`.
    severed_links : object
        Replaced by `sever_links`.
    late : list of (str, float, int, int)
        Daemon, time, version in force and version required, for each daemon
        that was behind longer than the bound.
    """

    def __init__(self, size, domains=4, seed=1):
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.seed = seed
        self.rng = seeded_rng(f"fleet {seed}")
        self.numbers = itertools.count(1)
        self.names = [f"vm-{number}" for number in range(size)]
        self.domains = {
            name: f"d{number % domains}" for number, name in enumerate(self.names)
        }
        self.hosts = {
            name: f"10.0.{number // 250}.{number % 250 + 1}"
            for number, name in enumerate(self.names)
        }
        self.by_host = {host: name for name, host in self.hosts.items()}
        self.rows = {}
        self.version, self.acked = 1, [(0.0, 1)]
        self.changed = asyncio.Event()
        self.store_calls = 0
        self.severed = object()
        self.severed_links = object()
        self.loss = 0.0
        self.cuts, self.cut_off, self.turned_away = {}, set(), {}
        self.disturbed_at, self.served_since, self.store_disturbed_at = {}, {}, 0.0
        self.late = []
        self.daemons = {}
        self.patches = [
            mock.patch.object(module, "now", self.clock) for module in (dialling, peers)
        ]

    async def __aenter__(self):
        for patch in self.patches:
            patch.start()
        for name in self.names:
            self.start(name)
        await asyncio.sleep(6.0)
        self.sampling = asyncio.ensure_future(self.sample())
        return self

    async def __aexit__(self, *error):
        self.sampling.cancel()
        for daemon in list(self.daemons.values()):
            await daemon.stop()
        for patch in self.patches:
            patch.stop()

    def start(self, name):
        self.disturbed_at[name] = self.clock()
        self.daemons[name] = SimulatedDaemon(self, name, self.domains[name])

    async def kill(self, name):
        self.disturbed_at[name] = self.clock()
        if name in self.daemons:
            await self.daemons.pop(name).stop()

    async def restart(self, name, down_s=1.0):
        await self.kill(name)
        await asyncio.sleep(down_s)
        if name not in self.daemons:
            self.start(name)

    def is_open(self, source, target):
        if source not in self.daemons or target not in self.daemons:
            return False
        return not any(cut(source, target) for cut in self.cuts.values())

    def is_served(self, name):
        return name not in self.cut_off and name not in self.turned_away

    def deliver(self, target, datagram, host):
        daemon = self.daemons.get(target)
        if daemon is not None:
            daemon.members.gossip.datagram_received(datagram, (host, 2))

    def change(self):
        """Write a new version, acknowledged at once."""
        self.version += 1
        self.acked.append((self.clock(), self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def sever_store(self):
        """Let the store answer no request for changes that is in flight."""
        self.severed = object()

    def sever_links(self):
        """Let the open links between daemons pass nothing any more."""
        self.severed_links = object()

    async def cut(self, names, seconds, one_way=False, store=True):
        """Cut daemons from all others and the store."""
        names, key = frozenset(names), object()

        def is_cut(source, target):
            return source in names or (target in names and not one_way)

        self.cuts[key] = is_cut
        reached = names - self.cut_off if store else frozenset()
        self.cut_off |= reached
        self.disturb(names)
        await asyncio.sleep(seconds)
        del self.cuts[key]
        self.cut_off -= reached
        self.serve_again(reached)
        self.disturb(names)

    async def turn_away(self, names, seconds, mode):
        """Let the store turn daemons away."""
        names = [name for name in names if name not in self.turned_away]
        self.store_disturbed_at = self.clock()
        self.turned_away |= dict.fromkeys(names, mode)
        await asyncio.sleep(seconds)
        for name in names:
            del self.turned_away[name]
        self.serve_again(names)
        self.store_disturbed_at = self.clock()

    async def lose(self, share, seconds):
        """Lose a share of all packets."""
        self.loss = share
        await asyncio.sleep(seconds)
        self.loss = 0.0
        self.disturb(self.names)

    def draw(self, share):
        """Return the names of a random share of the daemons, one at least."""
        return self.rng.sample(self.names, max(1, round(share * len(self.names))))

    def serve_again(self, names):
        """Record that the store serves some daemons again."""
        self.served_since |= dict.fromkeys(names, self.clock())

    def was_served(self, name):
        """Return whether the store has served a daemon for long enough."""
        served_for = self.clock() - self.served_since.get(name, 0.0)
        return self.is_served(name) and served_for >= CONTACT_S

    def disturb(self, names):
        self.disturbed_at |= dict.fromkeys(names, self.clock())

    def readers(self):
        """Return the names of the daemons that read for their domains."""
        return {
            member.name
            for daemon in self.daemons.values()
            for member in daemon.configuration.readers.current()
        }

    async def sample(self):
        """Check at short intervals that no daemon is behind for too long."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.check()

    def check(self):
        """Record each daemon that is behind longer than the bound.

        The bound holds for daemons without disruption, as long as the store
        has served one of them for some time: a version that it gave to nobody
        can't be in force.
        """
        now = self.clock()
        busy = bool(self.turned_away) or now - self.store_disturbed_at < CONTACT_S
        bound = BOUND_S + STORE_SKEW_S * busy
        required = max(version for at, version in self.acked if at <= now - bound)
        calm = [
            name
            for name in self.daemons
            if not self.loss
            and name not in self.cut_off
            and not any(cut(name, name) for cut in self.cuts.values())
            and now - self.disturbed_at[name] >= CONTACT_S
        ]
        if not any(map(self.was_served, calm)):
            return
        self.late += [
            (name, round(now, 2), self.daemons[name].version, required)
            for name in calm
            if self.daemons[name].version < required
        ]


def play(scenario, size=16, domains=4, seed=1):
    """Run a scenario on a settled fleet; return the fleet."""

    async def main():
        async with ConfigurationFleet(size, domains, seed) as fleet:
            await scenario(fleet)
        return fleet

    return run_in_virtual_time(main)


async def change_often(fleet, seconds, interval=1.5):
    """Change the configuration at regular intervals, then let it settle."""
    for _ in range(int(seconds / interval)):
        await asyncio.sleep(interval)
        fleet.change()
    await asyncio.sleep(6.0)


async def random_faults(fleet, seconds=40.0):
    """Inject overlapping random faults while the configuration changes."""
    async with asyncio.TaskGroup() as group:
        group.create_task(change_often(fleet, seconds, fleet.rng.uniform(1.0, 3.0)))
        end = fleet.clock() + seconds - 10.0
        while fleet.clock() < end:
            await asyncio.sleep(fleet.rng.uniform(0.5, 5.0))
            group.create_task(random_fault(fleet))


async def random_fault(fleet):
    """Inject one fault drawn at random."""
    rng = fleet.rng
    seconds = rng.uniform(2.0, 12.0)
    names = fleet.draw(rng.uniform(0.1, 0.5))
    match rng.randrange(6):
        case 0:
            await fleet.cut(names, seconds, rng.random() < 0.5, rng.random() < 0.5)
        case 1:
            away = fleet.draw(rng.uniform(0.35, 0.85))
            await fleet.turn_away(away, seconds, rng.choice((SILENT, BUSY)))
        case 2:
            await fleet.turn_away(fleet.readers(), seconds, BUSY)
        case 3:
            await fleet.lose(rng.uniform(0.02, 0.05), seconds)
        case _:
            await asyncio.gather(*map(fleet.restart, names))


def main(seeds):
    """Play random faults; return whether no daemon was late."""
    failed = []
    for seed in range(seeds):
        size, domains = ((2, 1), (6, 3), (16, 4), (30, 4))[seed % 4]
        fleet = play(random_faults, size, domains, seed)
        if fleet.late:
            failed.append(seed)
            print(seed, size, len(fleet.late), fleet.late[0], flush=True)
    print(f"{seeds - len(failed)} of {seeds} seeds without a late daemon")
    return not failed


if __name__ == "__main__":
    sys.exit(not main(int(sys.argv[1])))
