"""Simulates a service's daemons and their retry budget in virtual time."""

from bisect import bisect_left
from itertools import count
from types import SimpleNamespace

from papayabay_core.calls import Answer, LoadState
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_daemon._internal.calls.receive import Receiver
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.tree import CallTree
from papayabay_daemon._internal.lifetime.stop_horizon import StopHorizon
from papayabay_daemon._internal.retries import ArrivalBudget, Attempts
from tests.unit.daemon.budget_support import (
    SERVICE,
    WINDOW_S,
    budget_policy,
    make_call,
)


class TargetDaemon:
    """One daemon beside a target: a real receiver and budget, the rest fake.

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
        """Discard all state, as a process that is killed and restarted."""
        fleet = self.fleet
        self.budget = ArrivalBudget(
            lambda: fleet.policy, lambda service: len(fleet.daemons), lambda: fleet.at
        )
        target = SimpleNamespace(service=SERVICE)
        components = SimpleNamespace(
            run_horizon=StopHorizon(),
            counters=SimpleNamespace(received=0),
            policy=lambda: fleet.policy,
            registry=SimpleNamespace(current=target),
            quarantine=self,
            admission=self,
            target=self,
            log=SimpleNamespace(record=lambda *args, **inputs: None),
        )
        self.receiver = Receiver(components, CallTree(), RunCounts(), self.budget)

    def start_run(self, call):
        """Treat no request as suspect."""
        return False

    def check(self, call):
        """Treat no request as quarantined."""

    def load(self, path_key):
        """Return the load that answers report."""
        return LoadState()

    async def admit(self, call):
        """Refuse a share of the calls for overload."""
        if self.fleet.draw(self.fleet.overload_share):
            raise CallError(ErrorKind.OVERLOADED)
        return SimpleNamespace(finish=lambda answer: None)

    async def run(self, call, token):
        """Run a call, unless the target is unreachable or rejects it."""
        if self.fleet.draw(self.fleet.unreachable_share):
            raise CallError(ErrorKind.TARGET_UNREACHABLE)
        self.fleet.arrived(call)
        if self.fleet.draw(self.fleet.rejection_share):
            raise CallError(ErrorKind.TARGET_REJECTED)
        return Answer(200)

    def receive(self, call):
        """Return the answer to a call; the coroutine never suspends."""
        try:
            self.receiver.receive(call, "caller").send(None)
        except StopIteration as end:
            return end.value
        raise AssertionError("the receiver suspended; only synchronous fakes are used")


class BudgetFleet:
    """Callers of one service and the daemons beside its targets.

    Attributes
    ----------
    at : float
        Seconds.
    overload_share, unreachable_share, rejection_share : float
        Share of calls that daemons refuse for overload, that can't reach the
        target beside the daemon, and that targets reject.
    first_requests : list of float
        When requests were sent that were not made by a retried run.
    retries : list of float
        When a target received a call that was not the first of its request, or
        that was made by a retried run.
    """

    def __init__(self, size, rng, policy=None):
        self.at = 1_000.0
        self.rng = rng
        self.policy = policy or budget_policy()
        self.overload_share = self.unreachable_share = self.rejection_share = 0.0
        self.first_requests, self.retries = [], []
        self.reached_ids = set()
        self.ids = count()
        self.daemons = []
        self.resize(size)

    def resize(self, size):
        """Add daemons, or remove the oldest, to reach a size."""
        del self.daemons[: max(0, len(self.daemons) - size)]
        while len(self.daemons) < size:
            self.daemons.append(TargetDaemon(self, len(self.daemons)))

    def draw(self, share):
        """Return True with the probability of a share."""
        return share > 0.0 and self.rng.random() < share

    def arrived(self, call):
        """Record that a call has reached a target."""
        if call.request_id in self.reached_ids:
            self.retries.append(self.at)
        self.reached_ids.add(call.request_id)

    def call(self, importance=Importance.CRITICAL, from_retry=False, max_attempts=4):
        """Send one call with its retries; return whether it succeeded.

        Parameters
        ----------
        importance : Importance
        from_retry : bool
            Whether the run that makes the call is itself a retry.
        max_attempts : int
        """
        name = str(next(self.ids))
        if from_retry:
            self.reached_ids.add(name)
        else:
            self.first_requests.append(self.at)
        attempts = Attempts()
        for daemon in self.rng.choices(self.daemons, k=max_attempts):
            repeated = from_retry or attempts.reached_target
            call = make_call(name, repeated, importance)
            answer = daemon.receive(call)
            if answer.kind is None:
                return True
            attempts.ended(daemon.name, answer)
        return False

    def run(self, seconds, rate, **call):
        """Send calls for a time; return the share that succeeded."""
        end, served, sent = self.at + seconds, 0, 0
        while True:
            self.at += self.rng.expovariate(rate)
            if self.at >= end:
                break
            served += self.call(**call)
            sent += 1
        self.at = end
        return served / max(1, sent)

    def max_budget_use(self):
        """Return the largest share of the budget used in any window.

        The requests are those of the window itself, of the one that begins
        half a window earlier, or of the one before, whichever are most.
        Windows that begin with a retry suffice, as a maximum begins with one.
        """
        return max(map(self.budget_use_from, range(len(self.retries))), default=0.0)

    def budget_use_from(self, index):
        """Return the share used in the window that begins with a retry."""
        begin = self.retries[index]
        window_s, half_s = WINDOW_S, WINDOW_S / 2
        used = bisect_left(self.retries, begin + window_s) - index
        starts = begin, begin - half_s, begin - window_s
        requests = max(self.requests_within(start, window_s) for start in starts)
        retries = self.policy.retries(SERVICE)
        return used / (retries.ratio * requests + retries.window_repeats)

    def requests_within(self, start, seconds):
        """Return how many requests were sent in a period."""
        first = bisect_left(self.first_requests, start)
        return bisect_left(self.first_requests, start + seconds) - first
