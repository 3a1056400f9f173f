"""A model of clients that are refused for load and come back once.

Run as a program, it compares the ways to tell them when.
"""

import heapq
import itertools
import random
import sys
from dataclasses import dataclass

from papayabay_core.calls import Answer, Body, Call
from papayabay_core.importance import RANKS, Importance
from papayabay_daemon._internal.retries import ReturnTimes

TICK_S = 0.01
TIMEOUT_S = 1.5
SERVICE_S = 0.3
CAPACITY = 200.0
"""Requests a second that are admitted; in each tick, those of best rank."""


@dataclass
class Attempt:
    call: Call
    first_at: float
    is_last: bool
    returned: bool = False


class Model:
    """One entry of one service whose clients retry once.

    Attributes
    ----------
    results : dict of str to int
        Requests served at the first and the second attempt, those admitted
        too late to be served, and second attempts that were refused.
    """

    def __init__(self, way, seed=1, impatient=0.1):
        self.way = way
        self.random = random.Random(seed)
        self.impatient = impatient
        self.now = 0.0
        self.returns = ReturnTimes(clock=lambda: self.now)
        self.events = []
        self.numbers = itertools.count()
        self.credit = 0.0
        self.results = dict.fromkeys(("first", "second", "hopeless", "again"), 0)

    def run(self, rate_at, seconds):
        """Run arrivals at `rate_at(time)` requests a second."""
        for tick in range(int((seconds + TIMEOUT_S) / TICK_S)):
            self.now = tick * TICK_S
            rate = rate_at(self.now) * TICK_S if self.now < seconds else 0.0
            arrivals = [self.fresh() for _ in range(self.poisson(rate))]
            while self.events and self.events[0][0] <= self.now:
                event = heapq.heappop(self.events)[2]
                arrivals.append(event) if isinstance(event, Attempt) else event()
            self.admit(arrivals)
        return self.results

    def poisson(self, mean):
        return sum(self.random.random() < mean / 20 for _ in range(20))

    def fresh(self):
        path = f"/{next(self.numbers)}"
        return Attempt(self.call(path, self.now + TIMEOUT_S), self.now, False)

    def call(self, path, expires_at):
        rank = self.random.randrange(RANKS)
        normal = Importance.NORMAL
        return Call(
            "", "svc", "GET", path, [], Body(), normal, rank, 0, expires_at, 0,
            path_key="svc/read",
        )  # fmt: skip

    def admit(self, arrivals):
        for attempt in arrivals:
            if self.way != "jitter" and self.returns.recognise(attempt.call):
                attempt.returned = True
                attempt.call.rank = 0
        self.credit = min(self.credit + CAPACITY * TICK_S, 4 * CAPACITY * TICK_S)
        for attempt in sorted(arrivals, key=lambda one: one.call.rank):
            if self.credit < 1.0:
                self.refuse(attempt)
                continue
            self.credit -= 1.0
            self.serve(attempt)

    def serve(self, attempt):
        in_time = self.now + SERVICE_S <= attempt.call.expires_at
        outcome = "second" if attempt.is_last else "first"
        self.results[outcome if in_time else "hopeless"] += 1
        started = self.now

        def ended():
            self.returns.admitted(attempt.call, Answer(200), started)

        self.at(self.now + SERVICE_S, ended)

    def refuse(self, attempt):
        left = attempt.call.expires_at - self.now
        delay = self.random.uniform(0.25, 0.75)
        if self.way != "jitter":
            jitter_ms = int(delay * 1_000)
            due_at = attempt.call.expires_at
            delay = self.returns.refused(attempt.call, jitter_ms, due_at) / 1_000
        if attempt.is_last:
            self.results["again"] += 1
            return
        delay = min(delay, left / 3)
        if self.random.random() < self.impatient:
            delay = 0.0
        call = self.call(attempt.call.path, attempt.call.expires_at)
        self.at(self.now + max(TICK_S, delay), Attempt(call, attempt.first_at, True))

    def at(self, moment, event):
        heapq.heappush(self.events, (moment, next(self.numbers), event))


def bursts(at):
    """2.2 times the capacity for 0.4 s of each 2 s, and 0.7 of it between."""
    return CAPACITY * (2.2 if at % 2.0 < 0.4 else 0.7)


def long_bursts(at):
    return CAPACITY * (1.8 if at % 8.0 < 3.0 else 0.7)


def overload(at):
    return CAPACITY * 1.6


def compare():
    """Print the outcomes by load and way."""
    for load in (bursts, long_bursts, overload):
        for way in ("jitter", "backlog"):
            total = {}
            for seed in range(5):
                for name, count in Model(way, seed).run(load, 40.0).items():
                    total[name] = total.get(name, 0) + count
            print(f"{load.__name__:12} {way:8}", total, flush=True)


if __name__ == "__main__":
    sys.exit(compare())
