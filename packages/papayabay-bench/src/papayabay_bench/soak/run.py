"""Runs one seed of a soak and checks what was seen."""

import asyncio
import shutil
import tempfile
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from random import Random

from papayabay_bench.soak.clients import Clients
from papayabay_bench.soak.faults import FaultInjector
from papayabay_bench.soak.history import History
from papayabay_bench.soak.machine import Machine, free_places
from papayabay_bench.soak.relay import Direction, Relay
from papayabay_bench.soak.rules import check
from papayabay_bench.soak.schedule import draw_schedule
from papayabay_bench.soak.settings import SERVICES
from platform_standins.deployment import PROMISES, configuration, route_prefix
from platform_standins.store import Store
from platform_standins.upstream import Upstream, UpstreamSettings

START_SECONDS = 30.0
POLL_SECONDS = 0.1
SETTLE_SECONDS = 1.0
"""Time after the last request in which an upstream may still begin one."""


class Fleet:
    """The store, the machines and their upstreams.

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
        self.machines = []
        self.upstreams = []
        self.relays = {}
        self.directions = {}
        self.version = 0

    async def __aenter__(self):
        settings = self.settings
        # An address that other runs do not use: the metrics port is fixed.
        drawn = Random()
        network = f"127.{drawn.randint(10, 250)}.{drawn.randint(1, 250)}"
        await self.store.start(f"{network}.1")
        await self.write_configuration()
        pairs = [
            (f"{service}-{number}", service)
            for service, number in product(SERVICES, range(settings.machines))
        ]
        places = free_places(pairs, network)
        names = {place.host: place.name for place in places}
        self.directions = {
            pair: Direction() for pair in product(names.values(), repeat=2)
        }
        for number, place in enumerate(places):
            relay = self.relays[place.name] = Relay(place.name, self.directions, names)
            address = await relay.start(f"{network}.1")
            machine = Machine(
                place, self.store.address, self.folder, address, settings.packages
            )
            self.machines.append(machine)
            upstream = Upstream(
                UpstreamSettings(
                    place,
                    calls=calls_of(place.service),
                    seed=settings.seed * 1_000 + number,
                ),
                self.history,
            )
            self.upstreams.append(upstream)
            await upstream.start()
            machine.start()
        await self.wait_ready()
        return self

    async def __aexit__(self, *error):
        for machine in self.machines:
            machine.kill()
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
            for machine in self.machines:
                while not await machine.is_ready():
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
    counts: object
    violations: list


async def run_seed(settings):
    """Run a seed and return its `SoakResult`."""
    history = History()
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(settings, history, Path(folder)) as fleet:
            history.restart_clock()
            schedule = draw_schedule(settings, len(fleet.machines))
            clients = Clients(settings, fleet.machines, SERVICES, history)
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
