"""The upstreams of one service that this daemon chooses among."""

from itertools import chain

from papayabay_core.calls import Answer
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.routing.ejection import FAILURE_POINTS, may_eject
from papayabay_daemon._internal.routing.hints import Hints
from papayabay_daemon._internal.routing.subset import choose_subset
from papayabay_daemon._internal.routing.upstream import Upstream

TYPICAL_WEIGHT = 0.05
SERVICE_WEIGHT = 0.25


class Pool:
    """Subset, reserve and state of a service's upstreams.

    Parameters
    ----------
    ejections : EjectionLog

    Attributes
    ----------
    source : list of Member
        The membership list that the subset was made of.
    subset, reserve : list of Upstream
    near : list of Upstream
        Those of the subset in the own failure domain, where policy prefers
        them.
    states : dict of str to Upstream
    typical : float
        Average latency over all of them, seconds.
    """

    __slots__ = (
        "ejections",
        "hints",
        "near",
        "policy",
        "reserve",
        "routing",
        "source",
        "states",
        "subset",
        "turn",
        "typical",
    )

    def __init__(self, ejections):
        self.ejections = ejections
        self.hints = Hints(weight=SERVICE_WEIGHT)
        self.source = None
        self.policy = None
        self.routing = None
        self.subset = []
        self.near = []
        self.reserve = []
        self.states = {}
        self.typical = 0.0
        self.turn = 0

    def refresh(self, local, upstreams, service, policy):
        """Take over a changed membership or policy; cheap when unchanged."""
        if upstreams is self.source and policy is self.policy:
            return
        self.source = upstreams
        self.policy = policy
        self.routing = routing = policy.routing(service)
        subset, reserve = choose_subset(
            local, upstreams, routing.subset, routing.prefer_own_domain
        )
        self.subset = [self.state_of(member) for member in subset]
        self.reserve = [self.state_of(member) for member in reserve]
        self.near = self.near_ones(local)
        self.prune()

    def near_ones(self, local):
        """Return the upstreams that are taken before all others."""
        if not self.routing.own_domain_usage:
            return []
        domain = local.failure_domain
        return [one for one in self.subset if one.member.failure_domain == domain]

    def state_of(self, member):
        """Return a member's state, anew when the member was restarted."""
        state = self.states.get(member.name)
        if state is None:
            state = self.states[member.name] = Upstream(member, self.hints)
        elif state.incarnation != member.incarnation:
            state.forget(member)
        state.member = member
        return state

    def prune(self):
        """Forget who is no longer chosen and has nothing in flight."""
        chosen = {state.member.name for state in chain(self.subset, self.reserve)}
        self.states = {
            name: state
            for name, state in self.states.items()
            if name in chosen or state.in_flight
        }

    def busy(self):
        """Return whether any attempt hasn't ended."""
        return any(state.in_flight for state in self.states.values())

    def started(self, name):
        """Count an attempt that was sent."""
        state = self.states.get(name)
        if state is not None:
            state.in_flight += 1

    def ended(self, member, path_key, answer: Answer | None, elapsed, at, eject):
        """Count an attempt's end and learn from its answer."""
        state = self.states.get(member.name)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        # An answer of a process that was replaced says nothing of the new.
        if answer is None or member.incarnation != state.incarnation:
            return
        if answer.load is not None:
            state.hear(answer.load, at)
            self.hints.hear(answer.load, at)
        if answer.kind is None:
            self.measure(state, answer, elapsed, at)
        elif answer.kind is ErrorKind.LEAVING:
            state.leave(at)
        elif eject and answer.kind in FAILURE_POINTS:
            self.fail(state, FAILURE_POINTS[answer.kind], at)

    def measure(self, state, answer, elapsed, at):
        """Learn from a target's own answer."""
        ejection = state.ejection
        ejection.succeed(at)
        # While it is left out, answers of earlier calls still come in.
        if ejection.out and not ejection.active(at):
            ejection.out = False
            self.ejections.returned.add(state.member.name)
        failed = answer.failed
        state.measure(elapsed, failed, at)
        if not failed:
            weight = TYPICAL_WEIGHT if self.typical else 1.0
            self.typical += weight * (elapsed - self.typical)

    def fail(self, state, points, at):
        """Count a failure, and leave the upstream out if that's due."""
        if not state.ejection.fail(points, at) or state.ejection.active(at):
            return
        if may_eject(self.subset, at, self.routing.max_ejected_share):
            if not state.ejection.out:
                self.ejections.ejected.add(state.member.name)
            state.ejection.eject(at)
