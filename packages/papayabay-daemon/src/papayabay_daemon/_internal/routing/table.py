"""The router: pools per service, strategy by the policy in force."""

from collections import Counter

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import ADMIT_ALL, Importance
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.routing.ejection_log import EjectionLog
from papayabay_daemon._internal.routing.pool import Pool
from papayabay_daemon._internal.routing.strategies import RoundRobin, TwoChoices

MAX_POOLS = 4_096
RETRY_AFTER_MS = {
    Importance.CRITICAL: 200,
    Importance.NORMAL: 500,
    Importance.SHEDDABLE: 1_000,
}


class RoutingTable:
    """Chooses an upstream for each attempt and learns from its end.

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
        self.counters = Counter()
        self.round_robin = RoundRobin()
        self.refusing = TwoChoices(random, True)
        self.trusting = TwoChoices(random, False)
        self.ejections = EjectionLog()

    def strategy(self, decisions):
        """Return the strategy that policy asks for."""
        if decisions.routing == "round-robin":
            return self.round_robin
        return self.refusing if decisions.upstream_refusal else self.trusting

    def choose(self, call, excluded):
        """Return where to send an attempt.

        Parameters
        ----------
        call : Call
        excluded : collection of str
            Names already tried.

        Raises
        ------
        CallError
            NO_UPSTREAM when none is left; OVERLOADED with `retry_after_ms`
            when all that are left refuse the call's level.
        """
        policy = self.policy_source()
        strategy = self.strategy(policy.decisions)
        pool = self.pool(call.service, policy)
        at = self.clock()
        quick = strategy.pick_at_once(pool, call, excluded, at)
        if quick is not None:
            return quick.member
        present = self.present(pool, excluded, at)
        if not present:
            self.counters["no_upstream"] += 1
            raise CallError(ErrorKind.NO_UPSTREAM, call.service)
        level = call.level
        willing = [
            upstream
            for upstream in present
            if strategy.accepts(upstream, call, level, at)
        ]
        if willing:
            return strategy.pick(pool, willing, at).member
        self.counters["refused_early"] += 1
        raise CallError(
            ErrorKind.OVERLOADED,
            "all upstreams refuse its level",
            self.retry_after_ms(call) if policy.decisions.retry_after else 0,
        )

    def retry_after_ms(self, call):
        """Return when to come back, spread so that callers don't in step."""
        base = RETRY_AFTER_MS[call.importance]
        return int(base * self.random.uniform(0.5, 1.5))

    def check(self, call):
        """Refuse a call that `choose` would refuse now.

        Raises
        ------
        CallError
            As `choose` does.
        """
        self.choose(call, ())

    def has_other(self, call, excluded):
        """Return whether `choose` would find one that takes the call."""
        policy = self.policy_source()
        strategy = self.strategy(policy.decisions)
        pool = self.pool(call.service, policy)
        at = self.clock()
        level = call.level
        return any(
            strategy.accepts(upstream, call, level, at)
            for upstream in self.present(pool, excluded, at)
        )

    def present(self, pool, excluded, at):
        """Return who may be chosen: of the subset, else of the reserve."""
        return [
            upstream
            for upstream in pool.subset
            if upstream.present(at) and upstream.member.name not in excluded
        ] or [
            upstream
            for upstream in pool.reserve
            if upstream.present(at) and upstream.member.name not in excluded
        ]

    def pool(self, service, policy):
        """Return a service's pool, up to date with membership and policy."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.add_pool(service)
        upstreams = self.members.upstreams(service)
        pool.refresh(self.members.local, upstreams, service, policy)
        return pool

    def add_pool(self, service):
        """Return a new pool; the oldest idle one goes beyond the cap."""
        if len(self.pools) >= MAX_POOLS:
            idle = (name for name, pool in self.pools.items() if not pool.busy())
            self.pools.pop(next(idle, None), None)
        pool = self.pools[service] = Pool(self.ejections)
        return pool

    def set_link_unresponsive(self, name, unresponsive):
        """Note whether the way to an upstream is in doubt."""
        for pool in self.pools.values():
            known = pool.states.get(name)
            if known is not None:
                known.link_unresponsive = unresponsive

    def started(self, member, call):
        """Note that an attempt was sent."""
        pool = self.pools.get(call.service)
        if pool is not None:
            pool.started(member.name)

    def ended(self, member, call, answer, elapsed):
        """Note an attempt's end, once.

        Parameters
        ----------
        member : Member
        call : Call
        answer : Answer or None
            None when the attempt was cancelled from above. A failed link or
            an attempt that outlived the call is an answer of that kind; the
            outlier ejection learns from it.
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

        It is the mean over the upstreams: each one's level tells the share
        of calls that it takes, and calls that one refuses go to the others.
        """
        pool = self.pools.get(service)
        if pool is None:
            return ADMIT_ALL
        at = self.clock()
        levels = [
            upstream.hints.level(path_key, at)
            for upstream in pool.subset
            if upstream.present(at)
        ]
        return sum(levels) // len(levels) if levels else ADMIT_ALL

    def explain(self, member, call):
        """Return what is known of a chosen upstream, as plain values."""
        pool = self.pools.get(call.service)
        known = pool.states.get(member.name) if pool is not None else None
        if known is None:
            return {"name": member.name}
        at = self.clock()
        return {
            "name": member.name,
            "incarnation": member.incarnation,
            "in_flight": known.in_flight,
            "admits": known.hints.level(call.path_key, at),
            "heard_ms": round((at - known.heard_at) * 1_000) if known.load else None,
            "points": known.ejection.points,
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
        "latency_ms": round(upstream.latency * 1_000.0, 3),
        "error_share": round(upstream.errors, 3),
        "ejected": upstream.ejection.active(at),
        "leaving": at < upstream.leaving_until,
    }
