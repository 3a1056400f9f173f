"""What a daemon knows of one upstream from the calls it sent there."""

from math import exp

from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.routing.ejection import Ejection
from papayabay_daemon._internal.routing.hints import Hints

LOAD_FADE_SECONDS = 0.5
"""Time in which what was heard of a load loses two thirds of its weight: some
calls of usual length, after which another load is there."""
LATENCY_FADE_SECONDS = 5.0
"""The same for a measured latency, which changes with the upstream and not
with each call."""
LATENCY_WEIGHT = 0.2
"""Of the latest answer in the moving average: ten answers make a new one."""
HOPED_SHARE = 0.9
"""Part of the service's average latency that is hoped for where nothing fresh
is known, so that a slow upstream is tried again."""
ERROR_WEIGHT = 0.1
"""Of the latest answer in the moving share of failures."""
ERROR_PENALTY = 4.0
"""Score of an upstream that only fails, over that of a sound one, less 1. At
twice the load the sound one is still the better choice."""
ERROR_SECONDS = 5.0
"""Time after which a failure says nothing any more."""
SHORTEST_LATENCY = 0.000_1
"""Seconds; keeps scores above 0."""
LEAVING_SECONDS = 5.0
"""How long an upstream that said it leaves is passed over; gossip tells of it
within that time."""
SUSPECT_PENALTY = 2.0
"""Score of a suspected member over that of a live one: most of the suspected
turn out to be alive."""
SOUND_ERROR_PENALTY = 0.2
"""Error penalty below which an upstream is taken without comparison: one in
twenty of its answers failed lately."""
SLOW_FACTOR = 2.0
"""How many times the service's average latency a sound upstream may take;
upstreams of one service differ by up to 1.6 times in speed."""


class Upstream:
    """State of one upstream as seen by this daemon.

    Attributes
    ----------
    member : Member
    in_flight : int
        Attempts of this daemon that haven't ended.
    link_unresponsive : bool
        Whether the link to it owes an answer for long; calls that were sent
        there wait on, and no further ones follow them.
    load : LoadState or None
        The last one heard, at `heard_at`.
    latency : float
        Moving average of the seconds until good answers, with queueing and
        the network; 0 before the first. Updated at `measured_at`.
    errors : float
        Moving share of the target's own 5xx answers, the last `error_at`.
    """

    __slots__ = (
        "link_unresponsive",
        "ejection",
        "error_at",
        "errors",
        "heard_at",
        "hints",
        "in_flight",
        "incarnation",
        "latency",
        "leaving_until",
        "load",
        "measured_at",
        "member",
        "service_hints",
    )

    def __init__(self, member, service_hints=None):
        self.in_flight = 0
        self.link_unresponsive = False
        self.service_hints = service_hints
        self.ejection = Ejection()
        self.forget(member)

    def forget(self, member):
        """Start anew with a member's new incarnation.

        Attempts in flight still count. So does how often it was ejected: a
        refuted suspicion raises the incarnation too, and an upstream whose
        network flaps would otherwise begin with the shortest ejection
        after each suspicion.
        """
        self.member = member
        self.incarnation = member.incarnation
        self.load = None
        self.heard_at = 0.0
        self.latency = 0.0
        self.measured_at = 0.0
        self.errors = 0.0
        self.error_at = 0.0
        self.leaving_until = 0.0
        self.hints = Hints(self.service_hints)
        self.ejection.give_chance()

    def present(self, at):
        """Return whether it may be chosen, whatever its load."""
        return (
            at >= self.leaving_until
            and at >= self.ejection.until
            and not self.link_unresponsive
            and self.member.state <= MemberState.SUSPECT
        )

    def is_sound(self, typical, at):
        """Return whether nothing speaks against it but its load.

        Parameters
        ----------
        typical : float
            Average latency of the service, seconds.
        at : float
        """
        return (
            self.present(at)
            and not self.ejection.penalty(at)
            and self.error_penalty(at) < SOUND_ERROR_PENALTY
            and self.expected_latency(typical, at) <= SLOW_FACTOR * typical
        )

    def hear(self, load, at):
        """Note the load that an answer carried."""
        self.load = load
        self.heard_at = at
        self.hints.hear(load, at)

    def leave(self, at):
        """Note that it said it is leaving.

        Without this memory, calls would go on to a leaving upstream until
        gossip tells of it; one would see a round of LEAVING answers.
        """
        self.leaving_until = at + LEAVING_SECONDS

    def measure(self, elapsed, failed, at):
        """Note how long a target's answer took, and whether it was 5xx."""
        self.errors += ERROR_WEIGHT * (failed - self.errors)
        # A fast failure says nothing of how long good work takes; counted
        # in, a broken target would look like the quickest one.
        if failed:
            self.error_at = at
            return
        if self.latency:
            self.latency += LATENCY_WEIGHT * (elapsed - self.latency)
        else:
            self.latency = elapsed
        self.measured_at = at

    def usage(self, at):
        """Return the load in shares of the limit; what was heard fades.

        A ramping upstream announces a small limit and so gets less.
        """
        load = self.load
        if load is None:
            return self.in_flight / max(1, self.member.slots)
        heard = load.in_flight + load.queued
        faded = heard * exp((self.heard_at - at) / LOAD_FADE_SECONDS)
        return (self.in_flight + faded) / max(1, load.limit)

    def expected_latency(self, typical, at):
        """Return the average latency, fading to a hopeful guess with age.

        Without fading, an upstream that was slow once would never be
        chosen, and so never measured, again.
        """
        hoped = typical * HOPED_SHARE
        if self.latency:
            weight = exp((self.measured_at - at) / LATENCY_FADE_SECONDS)
            hoped += weight * (self.latency - hoped)
        return max(SHORTEST_LATENCY, hoped)

    def error_penalty(self, at):
        """Return by how much its 5xx answers make it a worse choice.

        Ends with time since the last one, for the reason that the penalty
        of failures does.
        """
        freshness = 1.0 - (at - self.error_at) / ERROR_SECONDS
        return ERROR_PENALTY * self.errors * freshness if freshness > 0.0 else 0.0

    def score(self, typical, use_latency, at):
        """Return how bad a choice it is.

        The near upstream's shorter latency wins while loads are alike; the
        square makes load win well before the near one is full.

        Parameters
        ----------
        typical : float
            Average latency of the service, seconds.
        use_latency : bool
        at : float
        """
        usage = 1.0 + self.usage(at)
        score = usage * usage
        if self.errors:
            score *= 1.0 + self.error_penalty(at)
        # Beyond the ejection cap, failing upstreams stay in the choice.
        if self.ejection.points:
            score *= 1.0 + self.ejection.penalty(at)
        if self.member.state:
            score *= SUSPECT_PENALTY
        if use_latency:
            score *= self.expected_latency(typical, at)
        return score
