"""Runs one seed of a soak and checks what was seen."""

import asyncio
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from random import Random

from papayabay_bench.soak.clients import Clients
from papayabay_bench.soak.faults import FaultInjector
from papayabay_bench.soak.history import History
from papayabay_bench.soak.relay import Direction, Relay
from papayabay_bench.soak.rules import check
from papayabay_bench.soak.schedule import draw_schedule
from papayabay_bench.soak.settings import SERVICES
from papayabay_bench.soak.vm import Vm, free_places
from platform_standins.deployment import PROMISES, configuration, route_prefix
from platform_standins.store import Store
from platform_standins.upstream import Upstream, UpstreamSettings

START_SECONDS = 120.0
POLL_SECONDS = 0.1
SEEDS_PER_RUN = 1_000
SETTLE_SECONDS = 1.0
"""Time after the last request in which an upstream may still begin one."""


class Fleet:
    """The store, the VMs and their upstreams.

    Parameters
    ----------
    settings : SoakSettings
    history : History
    folder : Path

    Attributes
    ----------
    relays : dict of str to Relay
        By the name of the daemon that dials through it.
    directions : dict of (str, str) to Direction
        By the names of sender and receiver.
    """

    def __init__(self, settings, history, folder):
        self.settings = settings
        self.history = history
        self.folder = folder
        self.store = Store()
        self.store_host = ""
        self.vms = []
        self.upstreams = []
        self.relays = {}
        self.directions = {}
        self.version = 0

    async def __aenter__(self):
        # An address that other runs do not use: the metrics port is fixed.
        drawn = Random()
        network = f"127.{drawn.randint(10, 250)}.{drawn.randint(1, 250)}"
        self.store_host = f"{network}.1"
        await self.store.start(self.store_host)
        await self.write_configuration()
        pairs = [
            (f"{service}-{number}", service)
            for service, number in product(SERVICES, range(self.settings.vms))
        ]
        places = free_places(pairs, network)
        names = {place.host: place.name for place in places}
        self.directions = {
            pair: Direction() for pair in product(names.values(), repeat=2)
        }
        for number, place in enumerate(places):
            await self.start_vm(place, number, names)
        await self.wait_ready()
        return self

    async def start_vm(self, place, number, names):
        """Start a VM's upstream, the relay of its links and its daemon.

        Parameters
        ----------
        place : Place
        number : int
        names : dict of str to str
            Names of the VMs by host.
        """
        settings = self.settings
        relay = self.relays[place.name] = Relay(place.name, self.directions, names)
        address = await relay.start(self.store_host)
        vm = Vm(place, self.store.address, self.folder, address, settings.packages)
        upstream_settings = UpstreamSettings(
            place,
            calls=calls_of(place.service),
            seed=settings.seed * SEEDS_PER_RUN + number,
        )
        upstream = Upstream(upstream_settings, self.history)
        self.vms.append(vm)
        self.upstreams.append(upstream)
        await upstream.start()
        vm.start()

    async def __aexit__(self, *error):
        for vm in self.vms:
            vm.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        for relay in self.relays.values():
            relay.close()
        self.store.close()

    async def write_configuration(self):
        """Write a new version, as the operator does."""
        self.version += 3
        values = configuration(self.version, SERVICES)
        await self.store.put("op", "config", values)

    async def wait_ready(self):
        """Wait until all daemons are ready."""
        async with asyncio.timeout(START_SECONDS):
            for vm in self.vms:
                while not await vm.is_ready():
                    await asyncio.sleep(POLL_SECONDS)


def calls_of(service):
    """Return the path prefixes that the requests of a service call."""
    following = SERVICES.index(service) + 1
    if following == len(SERVICES):
        return ()
    kind = "unsafe" if following == len(SERVICES) - 1 else "safe"
    return (route_prefix(SERVICES[following], kind),)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one seed.

    Attributes
    ----------
    counts : Counter
        Requests by what became of them, and faults by kind.
    violations : list of Violation
    """

    seed: int
    counts: Counter
    violations: list


async def run_seed(settings):
    """Run a seed and return its `SoakResult`."""
    history = History()
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(settings, history, Path(folder)) as fleet:
            history.restart_clock()
            schedule = draw_schedule(settings, len(fleet.vms))
            clients = Clients(settings, fleet.vms, SERVICES, history)
            injecting = asyncio.create_task(
                FaultInjector(fleet, history).inject_all(schedule)
            )
            await clients.run()
            await injecting
            await asyncio.sleep(SETTLE_SECONDS)
        violations = check(history, PROMISES)
        if violations and settings.keep:
            kept = Path(settings.keep) / f"seed-{settings.seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            (kept / "history.jsonl").write_text("\n".join(history.lines()) + "\n")
    return SoakResult(settings.seed, history.counts, violations)
