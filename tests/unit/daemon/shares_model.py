"""A fleet whose accounts share less capacity than they demand.

Run as a program, it compares the ways to know the demand with an exact
max-min division weighted by the limits.
"""

import asyncio
import random
import sys
from collections import Counter, deque

from papayabay_core.importance import RANKS
from papayabay_daemon._internal.accounts import DemandReports
from papayabay_daemon._internal.accounts.demand import DemandRate
from papayabay_daemon._internal.accounts.slots import slot_positions
from papayabay_daemon._internal.lifetime.ranks import scaled_rank
from tests.lib.virtual_time import run_in_virtual_time
from tests.unit.daemon.limits_fleet import Fleet

ACCOUNTS = 40
TOTAL_RATE = 1_200.0
WARM_UP_S = 3.0
SEEN_S = 1.0


def skewed_rates(count=ACCOUNTS, total=TOTAL_RATE):
    """Return usual rates: the first account sends 40 times the last one's."""
    weights = [1.0 / (1.0 + number) for number in range(count)]
    return {f"a{n}": total * w / sum(weights) for n, w in enumerate(weights)}


class SharesFleet(Fleet):
    """A `Fleet` with one threshold of ranks that admits a given capacity.

    Parameters
    ----------
    way : str
        "owners", "own-view" or "none".
    capacity : float
        Requests a second.
    """

    def __init__(self, size, way, capacity, rates, seed=1):
        limits = {n: (1.6 * r, max(1, int(1.6 * r))) for n, r in rates.items()}
        super().__init__(size, seed=seed, **limits)
        self.way = way
        self.capacity = capacity
        self.seen = deque()
        self.threshold = RANKS
        self.demanded = Counter()
        self.served = Counter()
        self.reports = {}
        self.own_rates = {}

    def factor(self, name, daemon, account):
        shares = daemon.limiter.shares
        if self.way == "owners":
            return shares.arrived(account)
        if self.way == "none":
            return 1.0
        moment = asyncio.get_running_loop().time()
        key = name, account.name
        rate = self.own_rates.setdefault(key, DemandRate(moment - 10.0))
        rate.record(1, moment)
        demand = rate.current(moment) * len(daemon.view.live())
        return demand / account.limit.rate_per_s / 2.0

    async def enter(self, account, entry):
        daemon = self.daemons.get(entry)
        if daemon is None:
            return
        self.demanded[account] += 1
        entry_account = self.policy.accounts.by_name[account]
        factor = self.factor(entry, daemon, entry_account)
        rank = scaled_rank(self.random.randrange(RANKS), factor)
        self.seen.append((asyncio.get_running_loop().time(), rank))
        if rank <= self.threshold:
            self.served[account] += 1
            await self.request_token(daemon, entry_account)
        elif self.way == "owners":
            shares = daemon.limiter.shares
            reports = self.reports.setdefault(
                entry, DemandReports(shares, daemon.limiter)
            )
            reports.refused(entry_account)

    async def control(self):
        """Set the threshold to admit the capacity of the latest arrivals."""
        while True:
            await asyncio.sleep(0.1)
            moment = asyncio.get_running_loop().time()
            while self.seen and self.seen[0][0] < moment - SEEN_S:
                self.seen.popleft()
            ranks = sorted(rank for _, rank in self.seen)
            wanted = int(self.capacity * SEEN_S)
            self.threshold = ranks[wanted] - 1 if wanted < len(ranks) else RANKS

    def exact(self, seconds):
        """Return the max-min division of the capacity, by account."""
        limits = {
            n: a.limit.rate_per_s for n, a in self.policy.accounts.by_name.items()
        }
        return max_min(self.demanded, limits, self.capacity * seconds)

    def error(self, seconds):
        """Return the misplaced part of what is to be served."""
        exact = self.exact(seconds)
        wrong = sum(max(0.0, exact[n] - self.served[n]) for n in exact)
        return wrong / sum(exact.values())


def max_min(demands, limits, capacity):
    """Return the weighted max-min division."""
    level, left = 0.0, capacity
    open_weight = sum(limits[name] for name in demands)
    for name in sorted(demands, key=lambda one: demands[one] / limits[one]):
        level = max(level, left / open_weight)
        if demands[name] > level * limits[name]:
            break
        left -= demands[name]
        open_weight -= limits[name]
    else:
        return dict(demands)
    return {name: min(demands[name], level * limits[name]) for name in demands}


def run_shares(size, way, event=None, seed=1, seconds=6.0, overload=1.6):
    """Run a fleet beyond its capacity, one account at 7.5 times its usual.

    Returns
    -------
    SharesFleet
        With the counts of the last `seconds`.
    """
    rates = skewed_rates()
    random.seed(seed)

    async def main():
        sent = {n: r * (7.5 if n == "a3" else 1.0) for n, r in rates.items()}
        fleet = SharesFleet(size, way, sum(sent.values()) / overload, rates, seed)
        fleet.start(fleet.members)
        await asyncio.sleep(3.0)
        control = asyncio.ensure_future(fleet.control())
        sending = [
            asyncio.ensure_future(fleet.send(name, rate, WARM_UP_S + seconds))
            for name, rate in sent.items()
        ]
        await asyncio.sleep(WARM_UP_S)
        if event is not None:
            event(fleet)
            await asyncio.sleep(1.0)
        fleet.demanded.clear()
        fleet.served.clear()
        await asyncio.gather(*sending)
        fleet.measured_s = seconds - (event is not None)
        control.cancel()
        await fleet.close()
        return fleet

    return run_in_virtual_time(main)


def kill_owner(fleet):
    """Kill the owner of a slot of the account that sends too much."""
    ring = next(iter(fleet.daemons.values())).ring
    positions = slot_positions(fleet.policy.accounts.by_name["a3"])
    fleet.kill([ring.owner_at(positions[0]).member.name])


def lower_limit(fleet):
    """Lower the limit of the largest account to a fifth."""
    limits = {
        name: (account.limit.rate_per_s / (5 if name == "a0" else 1), 50)
        for name, account in fleet.policy.accounts.by_name.items()
    }
    fleet.change_limits(**limits)
    for daemon in fleet.daemons.values():
        daemon.limiter.shares.policy_changed(fleet.policy)


def compare():
    """Print the misplaced part by size, event and way."""
    for size in (2, 62):
        for event in (None, kill_owner, lower_limit):
            for way in ("none", "own-view", "owners"):
                fleet = run_shares(size, way, event)
                seconds = fleet.measured_s
                exact = fleet.exact(seconds)
                reports = sum(
                    d.limiter.shares.counters["reports"] for d in fleet.daemons.values()
                )
                ratios = {n: fleet.served[n] / exact[n] for n in exact}
                small = [r for n, r in ratios.items() if n != "a3"]
                name = event.__name__ if event else "steady"
                print(
                    f"{size:3} {name:11} {way:9} misplaced {fleet.error(seconds):.3f} "
                    f"greedy {ratios['a3']:.2f} others {min(small):.2f} to "
                    f"{max(small):.2f} reports {reports}",
                    flush=True,
                )


if __name__ == "__main__":
    sys.exit(compare())
