"""Strategies to pick one upstream of a pool."""

from collections.abc import Collection
from typing import Protocol

from papayabay_core.calls import Call
from papayabay_daemon._internal.routing.pool import Pool
from papayabay_daemon._internal.routing.upstream import Upstream


class Strategy(Protocol):
    """Picks one of a pool's upstreams."""

    def refuses_all(self, pool: Pool, call: Call, level: int, at: float) -> bool:
        """Return whether the call is refused whatever the upstream.

        Asked first if the pool's hints have levels of paths; the other methods
        are for calls that are not refused.
        """

    def pick_fast(
        self, pool: Pool, call: Call, level: int, excluded: Collection[str], at: float
    ) -> Upstream | None:
        """Return an upstream without checking all of them, or None."""

    def pick(self, pool: Pool, upstreams: list[Upstream], at: float) -> Upstream:
        """Return one of a non-empty list."""

    def accepts(self, upstream: Upstream, call: Call, level: int, at: float) -> bool:
        """Return whether the call may be sent to an upstream."""


class TwoChoices:
    """Picks the better of two random upstreams ("power of two choices").

    Parameters
    ----------
    random : random.Random
    upstream_refusal : bool
        Whether to skip upstreams that are expected to refuse the call.
    """

    __slots__ = ("random", "upstream_refusal")

    def __init__(self, random, upstream_refusal):
        self.random = random
        self.upstream_refusal = upstream_refusal

    def pick_fast(self, pool, call, level, excluded, at):
        """Return the better of two random upstreams if both are eligible.

        Otherwise `pick` has to choose among all that are. A pair that is drawn
        here is distributed like one drawn by `pick`, so this only saves time.
        """
        if pool.own_domain:
            preferred = self.pick_own_domain(pool, call, level, excluded, at)
            if preferred is not None:
                return preferred
        drawn = pool.subset
        if len(drawn) > 1:
            drawn = self.draw(drawn)
        for upstream in drawn:
            if not (
                upstream.is_available(at)
                and upstream.member.name not in excluded
                and self.accepts(upstream, call, level, at)
            ):
                return None
        if len(drawn) < 2:
            return drawn[0] if drawn else None
        return self.better(pool, drawn[0], drawn[1], at)

    def pick_own_domain(self, pool, call, level, excluded, at):
        """Return the least used upstream of the own failure domain, or None.

        Traffic between failure domains costs a millisecond or two of latency,
        and money. A queue or a failing target costs callers far more, so only
        healthy upstreams below the usage limit are preferred; the others
        compete with the rest of the subset.
        """
        if pool.completion is not None:
            return self.pick_own_pair(pool, call, level, excluded, at)
        best = None
        least_usage = pool.routing.own_domain_usage
        for one in pool.own_domain:
            # The cheapest check comes first and rules out most upstreams.
            usage = one.usage(at)
            if (
                usage < least_usage
                and one.member.name not in excluded
                and one.is_healthy(pool.mean_latency, at)
                and self.accepts(one, call, level, at)
            ):
                best, least_usage = one, usage
        return best

    def pick_own_pair(self, pool, call, level, excluded, at):
        """Return the better of two random ones of the own domain, or None."""
        max_usage = pool.routing.own_domain_usage
        mean_latency = pool.mean_latency
        drawn = pool.own_domain
        if len(drawn) > 1:
            drawn = self.draw(drawn)
        best = None
        for one in drawn:
            if (
                one.member.name not in excluded
                and one.usage(at) < max_usage
                and one.is_healthy(mean_latency, at)
                and self.accepts(one, call, level, at)
            ):
                best = one if best is None else self.better(pool, best, one, at)
        return best

    def pick(self, pool, upstreams, at):
        """Return the better of two random upstreams."""
        if len(upstreams) == 1:
            return upstreams[0]
        one, other = self.draw(upstreams)
        return self.better(pool, one, other, at)

    def draw(self, upstreams):
        """Return two different upstreams of a list of at least two."""
        count = len(upstreams)
        first = int(self.random.random() * count)
        second = int(self.random.random() * (count - 1))
        second += second >= first
        return upstreams[first], upstreams[second]

    def better(self, pool, one, other, at):
        """Return the upstream with the lower score."""
        model = pool.completion
        if model is not None:
            one_score = one.penalized(model.expected(one, at), at)
            other_score = other.penalized(model.expected(other, at), at)
            return one if one_score <= other_score else other
        use_latency = pool.routing.prefer_own_domain
        one_score = one.score(pool.mean_latency, use_latency, at)
        other_score = other.score(pool.mean_latency, use_latency, at)
        return one if one_score <= other_score else other

    def refuses_all(self, pool, call, level, at):
        """Return False: each upstream's levels decide."""
        return False

    def accepts(self, upstream, call, level, at):
        """Return whether the upstream is not expected to refuse the call."""
        if not self.upstream_refusal:
            return True
        return not upstream.hints.refuses(call, level, at)


class WholeRequests(TwoChoices):
    """Two choices that refuse requests early at their entries only.

    A call of a request that has begun is sent whatever level its upstreams
    admit: they order it by rank, and refuse it only if it can't be in time.
    """

    __slots__ = ()

    def refuses_all(self, pool, call, level, at):
        """Return whether the services below refuse a new request.

        All upstreams of a service call the same services below, so that in an
        overload of these one comparison takes the place of one per upstream.
        """
        return not call.depth and level > pool.hints.path_level(call.path_key, at)

    def accepts(self, upstream, call, level, at):
        """Return whether the call may be sent to the upstream."""
        return bool(call.depth) or not upstream.hints.refuses_new(level, at)


class RoundRobin:
    """Picks the upstreams in turn; a baseline for benchmarks."""

    __slots__ = ()

    def pick_fast(self, pool, call, level, excluded, at):
        """Return None: `pick` iterates over the available upstreams."""
        return None

    def pick(self, pool, upstreams, at):
        """Return the next upstream."""
        pool.turn += 1
        return upstreams[pool.turn % len(upstreams)]

    def refuses_all(self, pool, call, level, at):
        """Return False: only the callee refuses calls."""
        return False

    def accepts(self, upstream, call, level, at):
        """Return True: only the callee refuses calls."""
        return True
