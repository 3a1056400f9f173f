"""State of one upstream, learned from this daemon's calls to it."""

from math import exp

from papayabay_daemon._internal.interfaces import MemberState
from papayabay_daemon._internal.routing.completion import HostEstimate
from papayabay_daemon._internal.routing.ejection import Ejection
from papayabay_daemon._internal.routing.hints import AdmissionHints

SUSPECT = MemberState.SUSPECT
"""Read for each choice; a member of an `Enum` is looked up in Python."""
LOAD_DECAY_SECONDS = 0.5
"""Time in which a reported load loses two thirds of its weight. It is a few
times the usual duration of a call, after which the load has changed."""
LATENCY_DECAY_SECONDS = 5.0
"""The same for a measured latency, which changes with the upstream and not
with each call."""
LATENCY_WEIGHT = 0.2
"""Weight of an answer in the moving average of latency: after ten answers,
older ones hardly count."""
OPTIMISTIC_SHARE = 0.9
"""Share of the service's average latency that is assumed for an upstream
without recent measurements, so that a slow upstream is tried again."""
ERROR_WEIGHT = 0.1
"""Weight of an answer in the moving average of failures."""
ERROR_PENALTY = 4.0
"""Factor, less 1, on the score of an upstream that only fails. A healthy
upstream with twice the load is still the better choice."""
ERROR_DECAY_SECONDS = 5.0
"""Time after which a failure is disregarded."""
MIN_LATENCY_SECONDS = 0.000_1
"""Keeps scores above 0."""
LEAVING_SECONDS = 5.0
"""How long an upstream that reported that it is leaving gets no calls. Gossip
reports the departure within that time."""
SUSPECT_PENALTY = 2.0
"""Factor on the score of a suspected member: most suspected members turn out
to be alive."""
HEALTHY_ERROR_PENALTY = 0.2
"""Error penalty below which an upstream counts as healthy. One in twenty
recent answers failed at this value."""
MAX_HEALTHY_LATENCY_RATIO = 2.0
"""How many times the service's average latency a healthy upstream may take.
Upstreams of one service differ by up to 1.6 times in speed."""


class Upstream:
    """State of one upstream as seen by this daemon.

    Attributes
    ----------
    member : Member
    in_flight : int
        Attempts of this daemon that have not ended.
    link_unresponsive : bool
        Whether an answer on the link to it is overdue. Calls in flight keep
        waiting, but no further calls are sent.
    load : LoadState or None
        The latest reported load, received at `load_updated_at`.
    latency : float
        Moving average of the time to a successful answer, seconds, including
        queueing and the network; 0 before the first. Updated at `measured_at`.
    error_rate : float
        Moving average of the target's own 5xx answers, the latest of which
        came at `failed_at`.
    host : HostEstimate
        Used if policy compares upstreams by expected completion.
    leaving_until : float
        Time until which it gets no calls because it reported that it is
        leaving.
    """

    __slots__ = (
        "ejection",
        "error_rate",
        "failed_at",
        "hints",
        "host",
        "in_flight",
        "incarnation",
        "latency",
        "leaving_until",
        "link_unresponsive",
        "load",
        "load_updated_at",
        "measured_at",
        "member",
        "service_hints",
    )

    def __init__(self, member, service_hints=None):
        self.in_flight = 0
        self.link_unresponsive = False
        self.service_hints = service_hints
        self.ejection = Ejection()
        self.reset(member)

    def reset(self, member):
        """Discard the state of a previous incarnation.

        Attempts in flight still count. So does the length of the latest
        ejection: a refuted suspicion raises the incarnation too, and an
        upstream with a flapping network would otherwise start with the
        shortest ejection after each suspicion.
        """
        self.member = member
        self.incarnation = member.incarnation
        self.load = None
        self.load_updated_at = 0.0
        self.latency = 0.0
        self.measured_at = 0.0
        self.error_rate = 0.0
        self.failed_at = 0.0
        self.leaving_until = 0.0
        self.hints = AdmissionHints(self.service_hints)
        self.host = HostEstimate()
        self.ejection.end_early()

    def is_available(self, at):
        """Return whether it may be chosen, whatever its load."""
        return (
            at >= self.leaving_until
            and at >= self.ejection.until
            and not self.link_unresponsive
            and self.member.state <= SUSPECT
        )

    def is_healthy(self, mean_latency, at):
        """Return whether it is available, without failures, and not slow.

        Parameters
        ----------
        mean_latency : float
            Average latency of the service, seconds.
        at : float
        """
        if not (
            self.is_available(at)
            and not (self.ejection.points and self.ejection.penalty(at))
            and (not self.error_rate or self.error_penalty(at) < HEALTHY_ERROR_PENALTY)
        ):
            return False
        max_latency = MAX_HEALTHY_LATENCY_RATIO * mean_latency
        # The expected latency is between the measured one and the guess, which
        # is below the limit; so most upstreams need no calculation.
        if self.latency <= max_latency and mean_latency >= MIN_LATENCY_SECONDS:
            return True
        return self.expected_latency(mean_latency, at) <= max_latency

    def mark_leaving(self, at):
        """Record that it answered that it is leaving.

        Otherwise calls would be sent to it, and be answered with LEAVING,
        until gossip reports its departure.
        """
        self.leaving_until = at + LEAVING_SECONDS

    def record_answer(self, elapsed, failed, at):
        """Record the latency of a target's answer, and whether it was 5xx."""
        self.error_rate += ERROR_WEIGHT * (failed - self.error_rate)
        # The latency of a failure is no measure of successful work: an
        # upstream that fails fast would look like the fastest one.
        if failed:
            self.failed_at = at
            return
        if self.latency:
            self.latency += LATENCY_WEIGHT * (elapsed - self.latency)
        else:
            self.latency = elapsed
        self.measured_at = at

    def usage(self, at):
        """Return the load as a share of the limit; reported load decays.

        An upstream that is ramping up reports a small limit, and so gets fewer
        calls.
        """
        load = self.load
        if load is None:
            return self.in_flight / max(1, self.member.slots)
        limit = load.limit if load.limit > 1 else 1
        reported = load.in_flight + load.queued
        if not reported:
            return self.in_flight / limit
        decayed = reported * exp((self.load_updated_at - at) / LOAD_DECAY_SECONDS)
        return (self.in_flight + decayed) / limit

    def expected_latency(self, mean_latency, at):
        """Return the average latency, decaying to an optimistic guess.

        Without the decay, an upstream that was slow once would never be chosen
        again, and so never be measured again.
        """
        expected = mean_latency * OPTIMISTIC_SHARE
        if self.latency:
            weight = exp((self.measured_at - at) / LATENCY_DECAY_SECONDS)
            expected += weight * (self.latency - expected)
        return expected if expected > MIN_LATENCY_SECONDS else MIN_LATENCY_SECONDS

    def error_penalty(self, at):
        """Return the amount by which its 5xx answers raise the score.

        It decays with the time since the latest one, for the same reason as
        `Ejection.penalty`.
        """
        freshness = 1.0 - (at - self.failed_at) / ERROR_DECAY_SECONDS
        return ERROR_PENALTY * self.error_rate * freshness if freshness > 0.0 else 0.0

    def score(self, mean_latency, use_latency, at):
        """Return the score of a choice; lower is better.

        A nearby upstream's shorter latency decides while loads are similar.
        The square of the load outweighs it well before the nearby upstream is
        full.

        Parameters
        ----------
        mean_latency : float
            Average latency of the service, seconds.
        use_latency : bool
        at : float
        """
        usage = 1.0 + self.usage(at)
        score = self.penalized(usage * usage, at)
        if use_latency:
            score *= self.expected_latency(mean_latency, at)
        return score

    def penalized(self, score, at):
        """Return a score raised by failures and suspicion."""
        if self.error_rate:
            score *= 1.0 + self.error_penalty(at)
        # Failing upstreams that may not be ejected can still be chosen.
        if self.ejection.points:
            score *= 1.0 + self.ejection.penalty(at)
        if self.member.state:
            score *= SUSPECT_PENALTY
        return score
