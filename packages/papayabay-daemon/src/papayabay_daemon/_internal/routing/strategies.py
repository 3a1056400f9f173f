"""The ways to pick one upstream of a pool."""

from collections.abc import Collection
from typing import Protocol

from papayabay_core.calls import Call
from papayabay_daemon._internal.routing.pool import Pool
from papayabay_daemon._internal.routing.upstream import Upstream


class Strategy(Protocol):
    """Picks among upstreams."""

    def pick_at_once(
        self, pool: Pool, call: Call, excluded: Collection[str], at: float
    ) -> Upstream | None:
        """Return one without looking at all of them, or None."""

    def pick(self, pool: Pool, upstreams: list[Upstream], at: float) -> Upstream:
        """Return one of a non-empty list."""

    def accepts(self, upstream: Upstream, call: Call, level: int, at: float) -> bool:
        """Return whether to send a call there at all."""


class TwoChoices:
    """The better of two drawn at random.

    Parameters
    ----------
    random : random.Random
    upstream_refusal : bool
        Whether to skip upstreams that are believed to refuse the call.
    """

    __slots__ = ("random", "upstream_refusal")

    def __init__(self, random, upstream_refusal):
        self.random = random
        self.upstream_refusal = upstream_refusal

    def pick_at_once(self, pool, call, excluded, at):
        """Return the better of two if both will do; else look at all.

        The pair is as random among all that will do as one drawn from
        their list, so that this changes only the time needed.
        """
        near = self.pick_near(pool, call, excluded, at)
        if near is not None:
            return near
        if len(pool.subset) < 2:
            return None
        one, other = self.draw(pool.subset)
        level = call.level
        for upstream in (one, other):
            if not (
                upstream.present(at)
                and upstream.member.name not in excluded
                and self.accepts(upstream, call, level, at)
            ):
                return None
        return self.better(pool, one, other, at)

    def pick_near(self, pool, call, excluded, at):
        """Return the least used of the own failure domain, if it will do.

        Traffic between failure domains costs money, and the way there a
        millisecond or two; a call that waits in a queue, or meets a target
        that fails, loses far more. So one that is in doubt is left to the
        draw among all.
        """
        most = pool.routing.own_domain_usage
        fit = [
            (usage, number)
            for number, one in enumerate(pool.near)
            if one.member.name not in excluded
            and one.is_sound(pool.typical, at)
            and (usage := one.usage(at)) < most
            and self.accepts(one, call, call.level, at)
        ]
        return pool.near[min(fit)[1]] if fit else None

    def pick(self, pool, upstreams, at):
        """Return the better of two."""
        if len(upstreams) == 1:
            return upstreams[0]
        one, other = self.draw(upstreams)
        return self.better(pool, one, other, at)

    def draw(self, upstreams):
        """Return two different ones of at least two."""
        count = len(upstreams)
        first = int(self.random.random() * count)
        second = int(self.random.random() * (count - 1))
        second += second >= first
        return upstreams[first], upstreams[second]

    def better(self, pool, one, other, at):
        """Return the one with the lower score."""
        use_latency = pool.routing.prefer_own_domain
        one_score = one.score(pool.typical, use_latency, at)
        other_score = other.score(pool.typical, use_latency, at)
        return one if one_score <= other_score else other

    def accepts(self, upstream, call, level, at):
        """Return whether it is not believed to refuse the call."""
        if not self.upstream_refusal:
            return True
        return not upstream.hints.refuses(call, level, at)


class RoundRobin:
    """Each in turn, whatever its state; the bench's baseline."""

    __slots__ = ()

    def pick_at_once(self, pool, call, excluded, at):
        """Return None: turns are taken among those present."""
        return None

    def pick(self, pool, upstreams, at):
        """Return the next one."""
        pool.turn += 1
        return upstreams[pool.turn % len(upstreams)]

    def accepts(self, upstream, call, level, at):
        """Return True: refusing is left to the callee."""
        return True
