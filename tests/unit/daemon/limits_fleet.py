"""A simulated fleet that enforces rate limits, in virtual time.

Run as a program, it compares the strategies with one exact token bucket.
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
"""Delay until the others detect a failed member. After a partition, they
discover each other again in half that time."""
START_S = 0.3
"""Time in which a process that starts discovers the others."""


class MembershipView:
    """The membership as one daemon sees it."""

    def __init__(self, fleet, local):
        self.fleet = fleet
        self.local = local
        self.alive = {local.name: local}
        self.died_at = {}
        self.listed = None
        self.started_at = asyncio.get_running_loop().time()
        self.seeds = fleet.listed_seeds()
        self.listeners = []

    def live(self):
        if self.listed is None:
            self.listed = list(self.alive.values())
        return self.listed

    def lost_since(self, since):
        members = self.fleet.members
        dead = [
            members[name] for name, died_at in self.died_at.items() if died_at > since
        ]
        age = asyncio.get_running_loop().time() - self.started_at
        return [*dead, *self.unmet_seeds()] if age <= UNMET_RECENT_SECONDS else dead

    def lost_count(self):
        return len(self.died_at) + len(self.unmet_seeds())

    def listed_seed_count(self):
        return len(self.seeds)

    def unmet_seeds(self):
        return [
            member
            for member in self.seeds
            if member.name not in self.alive and member.name not in self.died_at
        ]

    def add(self, name):
        self.died_at.pop(name, None)
        self.alive[name] = self.fleet.members[name]
        self.changed(name)

    def remove(self, name):
        if self.alive.pop(name, None) is not None:
            self.died_at[name] = asyncio.get_running_loop().time()
            self.changed(name)

    def changed(self, name):
        self.listed = None
        for listener in self.listeners:
            listener(self.fleet.members[name])


class FakeLinks:
    """The links of one daemon."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def handle_requests(self, topic, handler):
        self.fleet.handlers[self.name] = handler

    async def request(self, peer, topic, payload, timeout):
        await asyncio.sleep(ROUND_TRIP_S / 2)
        if not self.fleet.can_reach(self.name, peer.name):
            await asyncio.sleep(timeout)
            raise TimeoutError
        handler = self.fleet.handlers.get(peer.name)
        if handler is None:
            raise ProtocolError("refused")
        answer = await handler(payload, self.name)
        await asyncio.sleep(ROUND_TRIP_S / 2)
        return answer


class Daemon:
    """The rate limits of one process."""

    def __init__(self, fleet, name):
        clock = asyncio.get_running_loop().time
        local = fleet.members[name]
        self.view = MembershipView(fleet, local)
        self.ring = OwnerRing(self.view, clock)
        self.view.listeners.append(self.ring.member_changed)
        links = FakeLinks(fleet, name)
        owner = LimitOwner(lambda: fleet.policy, self.ring, links, clock)
        rng = random.Random(f"{fleet.seed}-{name}")
        limiters = {
            "keepers": OwnerLimiter(local, self.ring, owner, links, rng, clock),
            "parts": EqualShareLimiter(self.view, clock),
        }
        self.limiter = limiters[fleet.strategy]
        self.ring_task = asyncio.ensure_future(self.ring.run())


class Fleet:
    """Daemons that can be started, killed and partitioned.

    Attributes
    ----------
    admitted : dict of str to list of float
        Times of admitted requests, by account.
    arrivals : list of (float, str)
        Time and account of each request.
    reasons : dict of str to int
        Number of requests by outcome.
    """

    def __init__(self, size, strategy="keepers", seed=1, **limits):
        self.seed = seed
        self.strategy = strategy
        self.random = random.Random(seed)
        self.handlers = {}
        self.members = {
            name: Member(name, 1, "h", 1, 1, 1, f"d{number % DOMAINS}", "r", "s", 1)
            for number, name in enumerate(f"vm-{n}" for n in range(size))
        }
        self.sides = dict.fromkeys(self.members, 0)
        self.daemons = {}
        self.has_started = False
        self.admitted = {}
        self.arrivals = []
        self.reasons = {}
        self.tasks = set()
        self.change_limits(**limits)

    def change_limits(self, **limits):
        """Set the limits: rate and burst by account."""
        values = {
            "accounts": {
                name: {"rate_per_s": rate, "burst": burst}
                for name, (rate, burst) in limits.items()
            }
        }
        self.policy = Policy(PolicyDocument.model_validate(values), 1)

    def listed_seeds(self):
        """Return the seeds listed in the store; none before a first start."""
        if not self.has_started:
            return []
        names = list(self.members)[: SEEDS_PER_DOMAIN * DOMAINS]
        return [self.members[name] for name in names]

    def can_reach(self, one, other):
        both_run = one in self.daemons and other in self.daemons
        return both_run and self.sides[one] == self.sides[other]

    def start(self, names):
        """Start processes; within `START_S`, all discover each other."""
        for name in names:
            self.daemons[name] = Daemon(self, name)
        loop = asyncio.get_running_loop()
        loop.call_later(START_S * 0.5, self.discover)
        loop.call_later(START_S, self.discover)
        self.has_started = True

    def discover(self):
        for name, daemon in self.daemons.items():
            for other in self.daemons:
                if self.can_reach(name, other) and other not in daemon.view.alive:
                    daemon.view.add(other)

    def kill(self, names):
        """Kill processes; the others detect it after `DETECTION_S`."""
        for name in names:
            self.daemons.pop(name).ring_task.cancel()
            self.handlers.pop(name, None)
        asyncio.get_running_loop().call_later(DETECTION_S, self.detect_losses)

    def detect_losses(self):
        for name, daemon in self.daemons.items():
            for other in list(daemon.view.alive):
                if not self.can_reach(name, other):
                    daemon.view.remove(other)

    def partition(self, names):
        """Separate some members from the rest; none heals the partition."""
        self.sides = {name: int(name in names) for name in self.members}
        loop = asyncio.get_running_loop()
        loop.call_later(DETECTION_S, self.detect_losses)
        loop.call_later(DETECTION_S / 2, self.discover)

    async def send(self, account, rate, seconds, entries=None):
        """Send requests of an account through entries drawn at random."""
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
            outcome = await self.request_token(
                daemon, self.policy.accounts.by_name[account]
            )
        if outcome == "allowed":
            moment = asyncio.get_running_loop().time()
            self.admitted.setdefault(account, []).append(moment)
        self.reasons[outcome] = self.reasons.get(outcome, 0) + 1

    async def request_token(self, daemon, account):
        try:
            await daemon.limiter.acquire(account)
        except CallError as error:
            assert error.retry_after_ms > 0 or error.kind is ErrorKind.INTERNAL
            return error.kind.name.lower()
        return "allowed"

    async def close(self):
        await asyncio.gather(*self.tasks)
        for daemon in self.daemons.values():
            daemon.ring_task.cancel()

    def most_in_window(self, account):
        """Return the most requests admitted in any window."""
        times = sorted(self.admitted.get(account, []))
        ends = (bisect_left(times, moment + WINDOW_S) for moment in times)
        return max((end - begin for begin, end in enumerate(ends)), default=0)

    def bound(self, account):
        """Return the most that the limit allows in a window."""
        limit = self.policy.accounts.by_name[account].limit
        return limit.rate_per_s * WINDOW_S + limit.burst

    def lost_share(self, account):
        """Return the refused share of the requests an exact bucket admits."""
        limit = self.policy.accounts.by_name[account].limit
        bucket = TokenBucket(limit.rate_per_s, limit.burst, 0.0)
        times = sorted(moment for moment, name in self.arrivals if name == account)
        exact = sum(bucket.take(moment) for moment in times)
        return 1.0 - len(self.admitted.get(account, ())) / max(1, exact)


def run_scenario(scenario, *args, **settings):
    """Run a scenario on a settled fleet; return the fleet."""

    async def main():
        fleet = Fleet(*args, **settings)
        fleet.start(fleet.members)
        await asyncio.sleep(3.0)
        await scenario(fleet)
        await fleet.close()
        return fleet

    return run_in_virtual_time(main)


USUAL_RATE = 30.0
LIMIT = (48.0, 48)
"""Rate of 1.6 times the usual rate, and a burst of one second of it."""


async def calm(fleet):
    await fleet.send("a", USUAL_RATE, 20.0)


async def at_the_limit(fleet):
    rate = fleet.policy.accounts.by_name["a"].limit.rate_per_s
    await fleet.send("a", rate, 30.0)


async def one_entry(fleet):
    await fleet.send("a", USUAL_RATE, 20.0, entries=["vm-0"])


async def alternating_entries(fleet):
    names = list(fleet.members)
    half = len(names) // 2
    groups = itertools.cycle((names[:half], names[half:]))
    for _ in range(10):
        await fleet.send("a", USUAL_RATE, 2.0, entries=next(groups))


async def over_limit(fleet):
    await asyncio.gather(
        fleet.send("a", 7.5 * USUAL_RATE, 10.0), fleet.send("b", USUAL_RATE, 10.0)
    )


async def some_killed(fleet):
    sending = asyncio.ensure_future(fleet.send("a", USUAL_RATE, 20.0))
    await asyncio.sleep(4.0)
    killed = list(fleet.members)[:: max(2, len(fleet.members) // 10)]
    fleet.kill(killed)
    await asyncio.sleep(3.5)
    fleet.start(killed)
    await sending


async def owner_killed(fleet):
    sending = asyncio.ensure_future(fleet.send("a", USUAL_RATE, 20.0))
    await asyncio.sleep(4.0)
    daemon = next(iter(fleet.daemons.values()))
    first, *_ = slots.slot_positions(fleet.policy.accounts.by_name["a"])
    fleet.kill([daemon.ring.owner_at(first).member.name])
    await sending


async def all_restarted(fleet):
    """All processes restart just before an account sends at its usual rate."""
    await fleet.send("a", USUAL_RATE, 2.0)
    fleet.kill(list(fleet.members))
    await asyncio.sleep(1.0)
    fleet.arrivals.clear()
    fleet.admitted.clear()
    fleet.start(fleet.members)
    await asyncio.sleep(START_S)
    await fleet.send("a", USUAL_RATE, 4.0)


async def limit_lowered(fleet):
    sending = asyncio.ensure_future(fleet.send("a", USUAL_RATE, 20.0))
    await asyncio.sleep(8.0)
    fleet.change_limits(a=(USUAL_RATE / 5, int(USUAL_RATE / 5)), b=LIMIT)
    fleet.admitted.clear()
    fleet.arrivals.clear()
    await sending


async def all_killed(fleet):
    sending = asyncio.ensure_future(fleet.send("a", 7.5 * USUAL_RATE, 16.0))
    await asyncio.sleep(6.0)
    fleet.kill(list(fleet.members))
    await asyncio.sleep(0.5)
    fleet.start(fleet.members)
    await sending


async def partitioned(fleet):
    sending = asyncio.ensure_future(fleet.send("a", 7.5 * USUAL_RATE, 40.0))
    await asyncio.sleep(4.0)
    fleet.partition(list(fleet.members)[: max(1, len(fleet.members) // 5)])
    await asyncio.sleep(26.0)
    fleet.partition([])
    await sending


SCENARIOS = (
    calm,
    one_entry,
    alternating_entries,
    over_limit,
    some_killed,
    owner_killed,
    all_killed,
    limit_lowered,
    partitioned,
)


def compare():
    """Print the fullest window and the lost share by scenario and strategy."""
    strategies = (("parts", 4), ("keepers", 1), ("keepers", 4))
    for size in (2, 62, 195):
        for scenario in SCENARIOS:
            cells = []
            for strategy, count in strategies:
                with mock.patch.object(slots, "MAX_SLOTS", count):
                    fleet = run_scenario(scenario, size, strategy, a=LIMIT, b=LIMIT)
                used = fleet.most_in_window("a") / fleet.bound("a")
                cells.append(
                    f"{strategy}/{count} {used:.3f} {fleet.lost_share('a'):+.3f}"
                )
            print(f"{size:4} {scenario.__name__:12}", " | ".join(cells), flush=True)


if __name__ == "__main__":
    sys.exit(compare())
