"""The upstreams of one service that this daemon chooses among."""

from itertools import chain

from papayabay_core.calls import SERVER_ERROR, Answer
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.retries.retry_delays import RetryDelays
from papayabay_daemon._internal.routing.completion import CompletionModel
from papayabay_daemon._internal.routing.ejection import FAILURE_POINTS, may_eject
from papayabay_daemon._internal.routing.hints import AdmissionHints
from papayabay_daemon._internal.routing.path_work import PathWork
from papayabay_daemon._internal.routing.subset import choose_subset
from papayabay_daemon._internal.routing.upstream import Upstream

MEAN_LATENCY_WEIGHT = 0.05
"""Weight of an answer in the service's moving average of latency."""
SERVICE_HINT_WEIGHT = 0.25
"""Weight of an answer in the admission hints of the whole service."""


class Pool:
    """Subset, reserve and state of a service's upstreams.

    Parameters
    ----------
    ejections : EjectionLog

    Attributes
    ----------
    source : list of Member
        The membership list that the subset was chosen from.
    subset, reserve : list of Upstream
    completion : CompletionModel or None
        None unless policy compares upstreams by expected completion.
    own_domain : list of Upstream
        Upstreams of the subset in this daemon's failure domain; empty unless
        policy prefers them.
    states : dict of str to Upstream
    mean_latency : float
        Average latency over all of them, seconds.
    turn : int
        Counts the calls of the round-robin strategy.
    work : PathWork
    retry_delays : RetryDelays
        Of the requests that enter at this daemon.
    """

    __slots__ = (
        "completion",
        "ejections",
        "hints",
        "mean_latency",
        "own_domain",
        "policy",
        "reserve",
        "retry_delays",
        "routing",
        "source",
        "states",
        "subset",
        "turn",
        "work",
    )

    def __init__(self, ejections):
        self.ejections = ejections
        self.hints = AdmissionHints(weight=SERVICE_HINT_WEIGHT)
        self.work = PathWork()
        self.retry_delays = RetryDelays()
        self.source = None
        self.policy = None
        self.routing = None
        self.completion = None
        self.subset = []
        self.own_domain = []
        self.reserve = []
        self.states = {}
        self.mean_latency = 0.0
        self.turn = 0

    def refresh(self, local, upstreams, service, policy):
        """Apply a changed membership or policy."""
        self.source = upstreams
        self.policy = policy
        self.routing = routing = policy.routing(service)
        subset, reserve = choose_subset(
            local, upstreams, routing.subset, routing.prefer_own_domain
        )
        self.subset = [self.state_of(member) for member in subset]
        self.reserve = [self.state_of(member) for member in reserve]
        self.own_domain = self.find_own_domain(local)
        if routing.score != "completion":
            self.completion = None
        elif self.completion is None:
            self.completion = CompletionModel()
        self.prune()

    def find_own_domain(self, local):
        """Return the upstreams that are preferred over all others."""
        if not self.routing.own_domain_usage:
            return []
        domain = local.failure_domain
        return [one for one in self.subset if one.member.failure_domain == domain]

    def state_of(self, member):
        """Return a member's state, which a new incarnation resets."""
        state = self.states.get(member.name)
        if state is None:
            state = self.states[member.name] = Upstream(member, self.hints)
        elif state.incarnation != member.incarnation:
            state.reset(member)
        state.member = member
        return state

    def prune(self):
        """Remove upstreams that are in no list and have nothing in flight."""
        chosen = {state.member.name for state in chain(self.subset, self.reserve)}
        self.states = {
            name: state
            for name, state in self.states.items()
            if name in chosen or state.in_flight
        }

    def is_busy(self):
        """Return whether any attempt is in flight."""
        return any(state.in_flight for state in self.states.values())

    def ended(self, member, path_key, answer: Answer | None, elapsed, at, eject):
        """Count an attempt's end, and update the state from its answer."""
        state = self.states.get(member.name)
        if state is None:
            return
        if state.in_flight:
            state.in_flight -= 1
        # The answer of a previous incarnation says nothing about this one.
        if answer is None or member.incarnation != state.incarnation:
            return
        load = answer.load
        if load is not None:
            state.load = load
            state.load_updated_at = at
            state.hints.update(load, at)
            self.hints.update(load, at)
            if load.work_ms or self.work.averages:
                self.work.update(path_key, load.work_ms, at)
            if self.completion is not None:
                self.completion.record(state, path_key, answer, elapsed, at)
        kind = answer.kind
        if kind is None:
            self.record_answer(state, answer.status >= SERVER_ERROR, elapsed, at)
        elif kind is ErrorKind.LEAVING:
            state.mark_leaving(at)
        elif eject and kind in FAILURE_POINTS:
            self.record_failure(state, FAILURE_POINTS[kind], at)

    def record_answer(self, state, failed, elapsed, at):
        """Update ejection and latency from a target's own answer."""
        ejection = state.ejection
        if ejection.points or ejection.duration:
            ejection.succeed(at)
            # Answers to earlier calls still arrive during an ejection.
            if ejection.awaiting_answer and not ejection.active(at):
                ejection.awaiting_answer = False
                self.ejections.returned.add(state.member.name)
        state.record_answer(elapsed, failed, at)
        if not failed:
            weight = MEAN_LATENCY_WEIGHT if self.mean_latency else 1.0
            self.mean_latency += weight * (elapsed - self.mean_latency)

    def record_failure(self, state, points, at):
        """Count a failure, and eject the upstream if required."""
        if not state.ejection.fail(points, at) or state.ejection.active(at):
            return
        if may_eject(self.subset, at, self.routing.max_ejected_share):
            if not state.ejection.awaiting_answer:
                self.ejections.ejected.add(state.member.name)
            state.ejection.eject(at)
