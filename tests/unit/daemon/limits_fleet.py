"""A fleet that holds accounts to their limits, in virtual time.

Run as a program it prints how several ways compare with one exact bucket.
"""

import asyncio
import itertools
import random
import sys
from bisect import bisect_left
from unittest import mock

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.accounts import (
    EqualShareLimiter,
    LimitOwner,
    OwnerLimiter,
    OwnerRing,
    slots,
)
from papayabay_daemon._internal.accounts.buckets import TokenBucket
from papayabay_daemon._internal.interfaces import Member
from papayabay_daemon._internal.membership.membership import UNMET_RECENT_SECONDS
from tests.lib.virtual_time import run_in_virtual_time

DOMAINS = 4
SEEDS_PER_DOMAIN = 8
WINDOW_S = 5.0
ROUND_TRIP_S = 0.001
DETECTION_S = 2.5
"""How long it takes the others to know that a member is gone, or back."""
START_S = 0.3
"""How long it takes a process that starts to know the others."""


class View:
    """The members as one of them knows them."""

    def __init__(self, fleet, local):
        self.fleet = fleet
        self.local = local
        self.alive = {local.name: local}
        self.died = {}
        self.listed = None
        self.started_at = asyncio.get_running_loop().time()
        self.seeds = fleet.listed_seeds()

    def live(self):
        if self.listed is None:
            self.listed = list(self.alive.values())
        return self.listed

    def lost_since(self, at):
        members = self.fleet.members
        dead = [members[name] for name, died in self.died.items() if died > at]
        age = asyncio.get_running_loop().time() - self.started_at
        return [*dead, *self.unmet_seeds()] if age <= UNMET_RECENT_SECONDS else dead

    def lost_count(self):
        return len(self.died) + len(self.unmet_seeds())

    def listed_seed_count(self):
        return len(self.seeds)

    def unmet_seeds(self):
        return [
            member
            for member in self.seeds
            if member.name not in self.alive and member.name not in self.died
        ]

    def found(self, name):
        self.died.pop(name, None)
        self.alive[name] = self.fleet.members[name]
        self.listed = None

    def lost(self, name):
        if self.alive.pop(name, None) is not None:
            self.died[name] = asyncio.get_running_loop().time()
            self.listed = None


class Wire:
    """One daemon's links."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def handle_requests(self, topic, handler):
        self.fleet.handlers[self.name] = handler

    async def request(self, peer, topic, payload, timeout):
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if not self.fleet.reaches(self.name, peer.name):
            await asyncio.sleep(timeout)
            raise TimeoutError
        handler = self.fleet.handlers.get(peer.name)
        if handler is None:
            raise ProtocolError("refused")
        answer = await handler(payload, self.name)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return answer


class Daemon:
    """What one process knows of the limits."""

    def __init__(self, fleet, name):
        clock = asyncio.get_running_loop().time
        local = fleet.members[name]
        self.view = View(fleet, local)
        self.ring = OwnerRing(self.view, clock)
        wire = Wire(fleet, name)
        keeper = LimitOwner(lambda: fleet.policy, self.ring, wire, clock)
        rng = random.Random(f"{fleet.seed}-{name}")
        limiters = {
            "keepers": OwnerLimiter(local, self.ring, keeper, wire, rng, clock),
            "parts": EqualShareLimiter(self.view, clock),
        }
        self.limiter = limiters[fleet.way]
        self.running = asyncio.ensure_future(self.ring.run())


class Fleet:
    """Daemons by name, with partitions, kills and starts.

    Attributes
    ----------
    admitted : dict of str to list of float
        When requests of each account were let through.
    arrivals : list of (float, str)
        When requests of which account came.
    reasons : dict of str to int
        How requests were answered.
    """

    def __init__(self, size, way="keepers", seed=1, **limits):
        self.seed = seed
        self.way = way
        self.random = random.Random(seed)
        self.handlers = {}
        self.members = {
            name: Member(name, 1, "h", 1, 1, 1, f"d{number % DOMAINS}", "r", "s", 1)
            for number, name in enumerate(f"vm-{n}" for n in range(size))
        }
        self.sides = dict.fromkeys(self.members, 0)
        self.daemons = {}
        self.has_run = False
        self.admitted = {}
        self.arrivals = []
        self.reasons = {}
        self.tasks = set()
        self.change_limits(**limits)

    def change_limits(self, **limits):
        """Put limits in force, as account to (rate, burst)."""
        values = {
            "accounts": {
                name: {"rate_per_s": rate, "burst": burst}
                for name, (rate, burst) in limits.items()
            }
        }
        self.policy = Policy(PolicyDocument.model_validate(values), 1)

    def listed_seeds(self):
        """Return the members in the seed rows, once any were written."""
        if not self.has_run:
            return []
        names = list(self.members)[: SEEDS_PER_DOMAIN * DOMAINS]
        return [self.members[name] for name in names]

    def reaches(self, one, other):
        both = one in self.daemons and other in self.daemons
        return both and self.sides[one] == self.sides[other]

    def start(self, names):
        """Start processes; they and the others know of each other soon."""
        for name in names:
            self.daemons[name] = Daemon(self, name)
        loop = asyncio.get_running_loop()
        loop.call_later(START_S * 0.5, self.introduce)
        loop.call_later(START_S, self.introduce)
        self.has_run = True

    def introduce(self):
        for name, daemon in self.daemons.items():
            for other in self.daemons:
                if self.reaches(name, other) and other not in daemon.view.alive:
                    daemon.view.found(other)

    def kill(self, names):
        """Kill processes; the others know after some time."""
        for name in names:
            self.daemons.pop(name).running.cancel()
            self.handlers.pop(name, None)
        asyncio.get_running_loop().call_later(DETECTION_S, self.notice)

    def notice(self):
        for name, daemon in self.daemons.items():
            for other in list(daemon.view.alive):
                if not self.reaches(name, other):
                    daemon.view.lost(other)

    def cut(self, names):
        """Part some members from the rest, or join all again."""
        self.sides = {name: int(name in names) for name in self.members}
        loop = asyncio.get_running_loop()
        loop.call_later(DETECTION_S, self.notice)
        loop.call_later(DETECTION_S / 2, self.introduce)

    async def send(self, account, rate, seconds, entries=None):
        """Send requests of an account to entries drawn from some."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            if loop.time() >= until:
                return
            names = entries() if callable(entries) else entries
            entry = self.random.choice(list(names or self.daemons or ("-",)))
            self.arrivals.append((loop.time(), account))
            task = asyncio.ensure_future(self.enter(account, entry))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def enter(self, account, entry):
        daemon = self.daemons.get(entry)
        outcome = "down"
        if daemon is not None:
            outcome = await self.take(daemon, self.policy.accounts.by_name[account])
        if outcome == "allowed":
            moment = asyncio.get_running_loop().time()
            self.admitted.setdefault(account, []).append(moment)
        self.reasons[outcome] = self.reasons.get(outcome, 0) + 1

    async def take(self, daemon, account):
        try:
            await daemon.limiter.acquire(account)
        except CallError as error:
            assert error.retry_after_ms > 0 or error.kind is ErrorKind.INTERNAL
            return error.kind.name.lower()
        return "allowed"

    async def close(self):
        await asyncio.gather(*self.tasks)
        for daemon in self.daemons.values():
            daemon.running.cancel()

    def most_in_window(self, account):
        """Return the most requests let through in any window."""
        times = sorted(self.admitted.get(account, []))
        ends = (bisect_left(times, moment + WINDOW_S) for moment in times)
        return max((end - begin for begin, end in enumerate(ends)), default=0)

    def bound(self, account):
        """Return the most that the limit allows in a window."""
        limit = self.policy.accounts.by_name[account].limit
        return limit.rate_per_s * WINDOW_S + limit.burst

    def lost(self, account):
        """Return what part is refused of what one exact bucket admits."""
        limit = self.policy.accounts.by_name[account].limit
        bucket = TokenBucket(limit.rate_per_s, limit.burst, 0.0)
        times = sorted(moment for moment, name in self.arrivals if name == account)
        exact = sum(bucket.take(moment) for moment in times)
        return 1.0 - len(self.admitted.get(account, ())) / max(1, exact)


def play(scenario, *args, **settings):
    """Return a fleet after a scenario, settled when that begins."""

    async def main():
        fleet = Fleet(*args, **settings)
        fleet.start(fleet.members)
        await asyncio.sleep(3.0)
        await scenario(fleet)
        await fleet.close()
        return fleet

    return run_in_virtual_time(main)


USUAL = 30.0
LIMIT = (48.0, 48)
"""A limit of 1.6 times the usual, and a second of it at once."""


async def calm(fleet):
    await fleet.send("a", USUAL, 20.0)


async def at_the_limit(fleet):
    rate = fleet.policy.accounts.by_name["a"].limit.rate_per_s
    await fleet.send("a", rate, 30.0)


async def small(fleet):
    await fleet.send("a", USUAL, 20.0, entries=["vm-0"])


async def jumping(fleet):
    names = list(fleet.members)
    half = len(names) // 2
    sides = itertools.cycle((names[:half], names[half:]))
    for _ in range(10):
        await fleet.send("a", USUAL, 2.0, entries=next(sides))


async def hot(fleet):
    await asyncio.gather(
        fleet.send("a", 7.5 * USUAL, 10.0), fleet.send("b", USUAL, 10.0)
    )


async def some_killed(fleet):
    sending = asyncio.ensure_future(fleet.send("a", USUAL, 20.0))
    await asyncio.sleep(4.0)
    killed = list(fleet.members)[:: max(2, len(fleet.members) // 10)]
    fleet.kill(killed)
    await asyncio.sleep(3.5)
    fleet.start(killed)
    await sending


async def keeper_killed(fleet):
    sending = asyncio.ensure_future(fleet.send("a", USUAL, 20.0))
    await asyncio.sleep(4.0)
    daemon = next(iter(fleet.daemons.values()))
    first, *_ = slots.slot_positions(fleet.policy.accounts.by_name["a"])
    fleet.kill([daemon.ring.owner_at(first).member.name])
    await sending


async def all_restarted(fleet):
    """All processes start again just before an account's usual requests."""
    await fleet.send("a", USUAL, 2.0)
    fleet.kill(list(fleet.members))
    await asyncio.sleep(1.0)
    fleet.arrivals.clear()
    fleet.admitted.clear()
    fleet.start(fleet.members)
    await asyncio.sleep(START_S)
    await fleet.send("a", USUAL, 4.0)


async def lowered(fleet):
    sending = asyncio.ensure_future(fleet.send("a", USUAL, 20.0))
    await asyncio.sleep(8.0)
    fleet.change_limits(a=(USUAL / 5, int(USUAL / 5)), b=LIMIT)
    fleet.admitted.clear()
    fleet.arrivals.clear()
    await sending


async def all_killed(fleet):
    sending = asyncio.ensure_future(fleet.send("a", 7.5 * USUAL, 16.0))
    await asyncio.sleep(6.0)
    fleet.kill(list(fleet.members))
    await asyncio.sleep(0.5)
    fleet.start(fleet.members)
    await sending


async def parted(fleet):
    sending = asyncio.ensure_future(fleet.send("a", 7.5 * USUAL, 40.0))
    await asyncio.sleep(4.0)
    fleet.cut(list(fleet.members)[: max(1, len(fleet.members) // 5)])
    await asyncio.sleep(26.0)
    fleet.cut([])
    await sending


SCENARIOS = (
    calm,
    small,
    jumping,
    hot,
    some_killed,
    keeper_killed,
    all_killed,
    lowered,
    parted,
)


def compare():
    """Print, by scenario and way, the fullest window and what is lost."""
    ways = (("parts", 4), ("keepers", 1), ("keepers", 4))
    for size in (2, 62, 195):
        for scenario in SCENARIOS:
            cells = []
            for way, count in ways:
                with mock.patch.object(slots, "MAX_SLOTS", count):
                    fleet = play(scenario, size, way, a=LIMIT, b=LIMIT)
                used = fleet.most_in_window("a") / fleet.bound("a")
                cells.append(f"{way}/{count} {used:.3f} {fleet.lost('a'):+.3f}")
            print(f"{size:4} {scenario.__name__:12}", " | ".join(cells), flush=True)


if __name__ == "__main__":
    sys.exit(compare())
