"""The router: chooses upstreams by the strategy of the policy in force."""

from collections import Counter

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import ADMIT_ALL
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.routing.ejection_log import EjectionLog
from papayabay_daemon._internal.routing.pool import Pool
from papayabay_daemon._internal.routing.strategies import (
    RoundRobin,
    TwoChoices,
    WholeRequests,
)

MAX_POOLS = 4_096


class RoutingTable:
    """Chooses an upstream for each attempt, and records the attempt's end.

    Parameters
    ----------
    members : Members
    policy_source : callable
        Returns the `Policy` in force.
    random : random.Random
    clock : callable
        Seconds.
    """

    def __init__(self, members, policy_source, random, clock=now):
        self.members = members
        self.policy_source = policy_source
        self.random = random
        self.clock = clock
        self.pools = {}
        self.policy = None
        self.strategy = None
        self.counters = Counter()
        self.round_robin = RoundRobin()
        self.with_hints = TwoChoices(random, True)
        self.without_hints = TwoChoices(random, False)
        self.whole_requests = WholeRequests(random, True)
        self.ejections = EjectionLog()

    def find_strategy(self, decisions):
        """Return the strategy that policy selects."""
        if decisions.routing == "round-robin":
            return self.round_robin
        if not decisions.upstream_refusal:
            return self.without_hints
        if decisions.queue_order == "due":
            return self.whole_requests
        return self.with_hints

    def apply_policy(self, policy):
        """Select the strategy of a changed policy."""
        self.policy = policy
        self.strategy = self.find_strategy(policy.decisions)

    def choose(self, call, excluded):
        """Return the member to send an attempt to.

        Parameters
        ----------
        call : Call
        excluded : collection of str
            Names of upstreams already tried.

        Raises
        ------
        CallError
            NO_UPSTREAM if no upstream is available; OVERLOADED with
            `retry_after_ms` if all that are available refuse the call's level.
        """
        member = self.find(call, excluded)
        if not (call.depth or excluded):
            delays = self.pools[call.service].retry_delays
            delays.record_admitted(call.importance)
        return member

    def find(self, call, excluded):
        """Return the member to send an attempt to; see `choose`."""
        policy = self.policy_source()
        if policy is not self.policy:
            self.apply_policy(policy)
        strategy = self.strategy
        pool = self.pool(call.service, policy)
        at = self.clock()
        level = call.level
        available = self.available(pool, excluded, at)
        if pool.hints.path_levels and strategy.refuses_all(pool, call, level, at):
            first = next(available, None)
        else:
            picked = strategy.pick_fast(pool, call, level, excluded, at)
            if picked is not None:
                return picked.member
            found = list(available)
            accepting = [one for one in found if strategy.accepts(one, call, level, at)]
            if accepting:
                return strategy.pick(pool, accepting, at).member
            first = found[0] if found else None
        if first is None:
            self.counters["no_upstream"] += 1
            raise CallError(ErrorKind.NO_UPSTREAM, call.service)
        self.counters["refused_early"] += 1
        raise CallError(
            ErrorKind.OVERLOADED,
            "all upstreams refuse its level",
            self.retry_after_ms(pool, call) if policy.decisions.retry_after else 0,
        )

    def retry_after_ms(self, pool, call):
        """Count a call that is refused early; return its retry delay."""
        if not call.depth:
            pool.retry_delays.record_refused(call.importance)
        return pool.retry_delays.delay_ms(call.importance, self.random)

    def check(self, call):
        """Refuse a call that `choose` would refuse now.

        Raises
        ------
        CallError
            As `choose` does.
        """
        self.find(call, ())

    def has_other(self, call, excluded):
        """Return whether `choose` would find an upstream for the call."""
        policy = self.policy_source()
        if policy is not self.policy:
            self.apply_policy(policy)
        pool = self.pool(call.service, policy)
        at = self.clock()
        strategy = self.strategy
        level = call.level
        if pool.hints.path_levels and strategy.refuses_all(pool, call, level, at):
            return False
        return any(
            strategy.accepts(upstream, call, level, at)
            for upstream in self.available(pool, excluded, at)
        )

    def available(self, pool, excluded, at):
        """Yield available upstreams, of the subset or else of the reserve."""
        is_any = False
        for upstream in pool.subset:
            if upstream.is_available(at) and upstream.member.name not in excluded:
                is_any = True
                yield upstream
        if is_any:
            return
        for upstream in pool.reserve:
            if upstream.is_available(at) and upstream.member.name not in excluded:
                yield upstream

    def pool(self, service, policy):
        """Return a service's pool, refreshed with membership and policy."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.add_pool(service)
        upstreams = self.members.upstreams(service)
        # Both are the same objects until they change.
        if upstreams is not pool.source or policy is not pool.policy:
            pool.refresh(self.members.local, upstreams, service, policy)
        return pool

    def add_pool(self, service):
        """Return a new pool; evict the oldest idle one at the limit."""
        if len(self.pools) >= MAX_POOLS:
            idle = (name for name, pool in self.pools.items() if not pool.is_busy())
            self.pools.pop(next(idle, None), None)
        pool = self.pools[service] = Pool(self.ejections)
        return pool

    def set_link_unresponsive(self, name, unresponsive):
        """Record whether the link to an upstream is unresponsive."""
        for pool in self.pools.values():
            state = pool.states.get(name)
            if state is not None:
                state.link_unresponsive = unresponsive

    def started(self, member, call, explain=False):
        """Record that an attempt is sent.

        Parameters
        ----------
        member : Member
        call : Call
        explain : bool

        Returns
        -------
        dict or None
            With `explain`, the state of the chosen upstream before the
            attempt, for the decision log.
        """
        pool = self.pools.get(call.service)
        state = pool.states.get(member.name) if pool is not None else None
        if state is None:
            return {"name": member.name} if explain else None
        explanation = self.explain(member, call, state) if explain else None
        state.in_flight += 1
        return explanation

    def ended(self, member, call, answer, elapsed):
        """Record an attempt's end, once for each `started`.

        Parameters
        ----------
        member : Member
        call : Call
        answer : Answer or None
            None if the caller cancelled the attempt. If the link failed or
            the call expired, an answer of that kind, which counts for outlier
            ejection.
        elapsed : float
            Seconds since `started`.
        """
        pool = self.pools.get(call.service)
        if pool is None:
            return
        eject = self.policy_source().decisions.outlier_ejection
        pool.ended(member, call.path_key, answer, elapsed, self.clock(), eject)

    def path_level(self, service, path_key):
        """Return the admission level of a service as a whole.

        It is the mean over the upstreams: the level of each stands for the
        share of calls that it admits, and calls that it refuses go to others.
        """
        pool = self.pools.get(service)
        if pool is None:
            return ADMIT_ALL
        at = self.clock()
        levels = [
            upstream.hints.level(path_key, at)
            for upstream in pool.subset
            if upstream.is_available(at)
        ]
        return sum(levels) // len(levels) if levels else ADMIT_ALL

    def path_work(self, service, path_key):
        """Return the slot milliseconds that a run takes of scarce services."""
        pool = self.pools.get(service)
        if pool is None or not pool.work.averages:
            return 0.0
        return pool.work.total(path_key, self.clock())

    def path_services(self, service, path_key):
        """Return the slot milliseconds of a run by scarce service."""
        pool = self.pools.get(service)
        return pool.work.services(path_key, self.clock()) if pool is not None else {}

    def explain(self, member, call, state):
        """Return the state of a chosen upstream for the decision log."""
        at = self.clock()
        heard_ms = None
        if state.load is not None:
            heard_ms = int((at - state.load_updated_at) * 1_000 + 0.5)
        return {
            "name": member.name,
            "incarnation": member.incarnation,
            "in_flight": state.in_flight,
            "admits": state.hints.level(call.path_key, at),
            "heard_ms": heard_ms,
            "points": state.ejection.points,
        }

    def status(self):
        """Return the state for the status page, as plain values."""
        at = self.clock()
        return {
            "counters": dict(self.counters),
            "services": {
                service: [upstream_status(upstream, at) for upstream in pool.subset]
                for service, pool in self.pools.items()
            },
        }


def upstream_status(upstream, at):
    """Return one upstream's state as plain values."""
    return {
        "name": upstream.member.name,
        "failure_domain": upstream.member.failure_domain,
        "in_flight": upstream.in_flight,
        "usage": round(upstream.usage(at), 3),
        "slowdown": round(upstream.host.slowdown_at(at), 2),
        "latency_ms": round(upstream.latency * 1_000.0, 3),
        "error_share": round(upstream.error_rate, 3),
        "ejected": upstream.ejection.active(at),
        "leaving": at < upstream.leaving_until,
    }
