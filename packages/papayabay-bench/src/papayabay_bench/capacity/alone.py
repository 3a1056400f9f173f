"""One real daemon with a platform stand-in and, mostly, a crowd."""

import time
from contextlib import asynccontextmanager
from dataclasses import dataclass

from papayabay_bench.capacity.crowd import Crowd, daemon_model
from papayabay_bench.capacity.usage import usage_of
from papayabay_bench.fleet import Fleet, FleetPlan
from papayabay_bench.fleet.settings import daemon_settings
from papayabay_core.platform import HttpTableService, Put
from papayabay_daemon._internal.configuration.readers import PURPOSE
from papayabay_daemon._internal.interfaces import Member
from papayabay_daemon._internal.membership.seeds import PREFIX, pick_by_rendezvous

READERS = 2


@dataclass(slots=True)
class Alone:
    """What a measurement works with.

    Attributes
    ----------
    fleet : Fleet
        Holds the platform and the one daemon.
    name : str
        The daemon's.
    crowd : Crowd or None
    """

    fleet: Fleet
    name: str
    crowd: Crowd | None

    def usage(self):
        """Return what the daemon's process has used."""
        return usage_of(self.fleet.daemons[self.name].process.pid)

    async def status(self):
        """Return the daemon's status."""
        return await self.fleet.status(self.name)

    def member(self):
        """Return the daemon as a member to send to."""
        ready = self.fleet.daemons[self.name].ready
        link, gossip = ready["link_port"], ready["gossip_port"]
        return Member(self.name, 0, "127.0.0.1", link, gossip, 0, "", "")


def plain_plan():
    """Return a plan of a platform and nothing else."""
    return FleetPlan(services=[], entries=0, failure_domains=1)


@asynccontextmanager
async def alone(members=0, own_domain=True):
    """Run one daemon among simulated members; yields an `Alone`.

    It is started last, so that its processor time includes the join.

    Parameters
    ----------
    members : int
        0 for none; there is no crowd then.
    own_domain : bool
        Without members of its own domain the daemon reads the store.
    """
    plan = plain_plan()
    async with Fleet(plan) as fleet:
        if not members:
            await fleet.start_daemon("entry-0")
            yield Alone(fleet, "entry-0", None)
            return
        tables = daemon_settings(plan, "entry-0", fleet.platform_url, {})
        async with Crowd(members, daemon_model(tables), own_domain) as crowd:
            await write_seeds(fleet, crowd)
            name = idle_name(crowd)
            await fleet.start_daemon(name)
            daemon = Alone(fleet, name, crowd)
            crowd.begin(daemon.member())
            yield daemon


async def write_seeds(fleet, crowd):
    """Write rows that lead the daemon to the crowd."""
    table = HttpTableService(fleet.platform_settings())
    value = {"seeds": crowd.seeds(), "written_at": int(time.time())}
    own = {"seeds": crowd.seeds("domain-0"), "written_at": int(time.time())}
    rows = [Put(f"{PREFIX}domain-1", value, 0), Put(f"{PREFIX}domain-0", own, 0)]
    try:
        await table.write(rows)
    finally:
        await table.close()


def idle_name(crowd):
    """Return a name whose daemon reads the store only if it is alone."""
    own = [m for m in crowd.members if m.failure_domain == "domain-0"]
    for number in range(1_000):
        name = f"entry-{number}"
        local = Member(name, 0, "", 0, 0, 0, "domain-0", "")
        if local not in pick_by_rendezvous([*own, local], PURPOSE, READERS):
            return name
    return "entry-0"
