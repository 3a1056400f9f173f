"""Daemons beside a service's targets in virtual time, and their budget."""

from bisect import bisect_left
from contextlib import nullcontext
from itertools import count
from types import SimpleNamespace

from papayabay_core.calls import Answer, LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_daemon._internal.calls.receive import Receiver
from papayabay_daemon._internal.calls.tree import CallTree
from papayabay_daemon._internal.retries import ArrivalBudget, Attempts
from tests.unit.daemon.budget_support import (
    SERVICE,
    WINDOW_S,
    budget_policy,
    make_call,
)


class BesideTarget:
    """One daemon beside a target: the real receiver, all else scripted.

    Parameters
    ----------
    fleet : BudgetFleet
    number : int
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"daemon-{number}"
        self.restart()

    def restart(self):
        """Begin anew, as a process that was killed does."""
        fleet = self.fleet
        self.budget = ArrivalBudget(
            lambda: fleet.policy, lambda service: len(fleet.daemons), lambda: fleet.at
        )
        target = SimpleNamespace(service=SERVICE)
        parts = SimpleNamespace(
            counters=SimpleNamespace(received=0),
            policy=lambda: fleet.policy,
            registry=SimpleNamespace(current=target),
            quarantine=self,
            admission=self,
            target=self,
            log=SimpleNamespace(record=lambda *args, **inputs: None),
        )
        chains = SimpleNamespace(note=lambda path_key, called: None)
        self.receiver = Receiver(parts, CallTree(), chains, self.budget)

    def guard(self, call):
        """Suspect no request."""
        return nullcontext()

    def check(self, call):
        """Hold no request back."""

    def load(self, path_key):
        """Return the load that answers tell of."""
        return LoadState()

    async def admit(self, call):
        """Refuse a call for overload as the fleet's script says."""
        if self.fleet.chance(self.fleet.overloaded):
            raise CallError(ErrorKind.OVERLOADED)
        return SimpleNamespace(finish=lambda answer: None)

    async def run(self, call, token):
        """Take an arrival; turn it away as the fleet's script says."""
        if self.fleet.chance(self.fleet.unreachable):
            raise CallError(ErrorKind.TARGET_UNREACHABLE)
        self.fleet.arrived(call)
        if self.fleet.chance(self.fleet.turned_away):
            raise CallError(ErrorKind.TARGET_REJECTED)
        return Answer(200)

    def receive(self, call):
        """Return the answer to a call; nothing in it ever waits."""
        try:
            self.receiver.receive(call, "caller").send(None)
        except StopIteration as end:
            return end.value
        raise AssertionError("a scripted call waited")


class BudgetFleet:
    """Callers of one service and the daemons beside its targets.

    Attributes
    ----------
    at : float
        Seconds.
    overloaded, unreachable, turned_away : float
        Share of calls that daemons refuse for load, that find no way to the
        target beside the daemon, and that targets turn away.
    asked : list of float
        When requests were sent that no repeated run made.
    repeats : list of float
        When a target got an arrival beyond the first of its request, or one
        made by a repeated run.
    """

    def __init__(self, size, rng, policy=None):
        self.at = 1_000.0
        self.rng = rng
        self.policy = policy or budget_policy()
        self.overloaded = self.unreachable = self.turned_away = 0.0
        self.asked, self.repeats = [], []
        self.seen = set()
        self.ids = count()
        self.daemons = []
        self.resize(size)

    def resize(self, size):
        """Let daemons join, or the oldest leave, until so many are there."""
        del self.daemons[: max(0, len(self.daemons) - size)]
        while len(self.daemons) < size:
            self.daemons.append(BesideTarget(self, len(self.daemons)))

    def chance(self, share):
        """Return true in a share of the cases."""
        return share > 0.0 and self.rng.random() < share

    def arrived(self, call):
        """Note that a call has reached a target."""
        if call.request_id in self.seen:
            self.repeats.append(self.at)
        self.seen.add(call.request_id)

    def call(self, importance=Importance.CRITICAL, of_repeat=False, attempts=4):
        """Send one call as a daemon does; return whether it is served.

        Parameters
        ----------
        importance : Importance
        of_repeat : bool
            Whether the run that makes it was itself a repeat.
        attempts : int
        """
        name = str(next(self.ids))
        if of_repeat:
            self.seen.add(name)
        else:
            self.asked.append(self.at)
        tries = Attempts()
        for daemon in self.rng.choices(self.daemons, k=attempts):
            repeated = of_repeat or tries.reached_target
            call = make_call(name, repeated, importance)
            answer = daemon.receive(call)
            if answer.kind is None:
                return True
            tries.ended(daemon.name, answer)
        return False

    def play(self, seconds, rate, **call):
        """Send calls for a time; return the share that was served."""
        end, served, sent = self.at + seconds, 0, 0
        while True:
            self.at += self.rng.expovariate(rate)
            if self.at >= end:
                break
            served += self.call(**call)
            sent += 1
        self.at = end
        return served / max(1, sent)

    def worst_use(self):
        """Return the largest share of the budget used in any window.

        Requests count in the window itself, in the one half a window before
        it or in the one before it, whichever has most. A window that holds
        most begins with a repeat.
        """
        return max(map(self.use_from, range(len(self.repeats))), default=0.0)

    def use_from(self, index):
        """Return the share used in the window that begins with a repeat."""
        begin = self.repeats[index]
        window_s, half_s = WINDOW_S, WINDOW_S / 2
        used = bisect_left(self.repeats, begin + window_s) - index
        starts = begin, begin - half_s, begin - window_s
        requests = max(self.asked_within(start, window_s) for start in starts)
        retries = self.policy.retries(SERVICE)
        return used / (retries.ratio * requests + retries.window_repeats)

    def asked_within(self, start, seconds):
        """Return how many requests were sent in a span of time."""
        first = bisect_left(self.asked, start)
        return bisect_left(self.asked, start + seconds) - first
