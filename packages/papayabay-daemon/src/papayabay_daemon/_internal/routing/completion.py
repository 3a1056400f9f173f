"""Compares upstreams by when they are expected to complete a call.

The targets of a service differ in speed, and hosts that are shared with others
slow down for a while. The share of its slots that an upstream uses shows
neither.
"""

from math import exp

from papayabay_core.calls import SERVER_ERROR

SLOWDOWN_DECAY_S = 0.3
"""Time in which a reported slowdown loses two thirds of its difference from
the upstream's mean. A state of a host lasts about 0.6 s."""
SLOWDOWN_TTL_S = 0.5
"""Age from which a reported slowdown is not used."""
MEAN_SLOWDOWN_WEIGHT = 0.02
"""Weight of an answer in an upstream's mean slowdown."""
SPEED_WEIGHT = 0.2
"""Weight of an answer in an upstream's relative times."""
PATH_WEIGHT = 0.05
"""Weight of an answer in the service's mean times of a path."""
LOAD_DECAY_S = 0.5
"""Time in which a reported load loses two thirds of its weight. Without the
decay, an upstream that reported a long queue would get no call that brings
the next report."""
MAX_PATHS = 64
"""Paths with mean times; answers of further ones count for the load only."""
MIN_TIME_S = 1e-6


class PathMeans:
    """Mean service time and latency of a path over all upstreams, seconds."""

    __slots__ = ("latency_s", "service_s")

    def __init__(self, service_s, latency_s):
        self.service_s = service_s
        self.latency_s = latency_s


class HostEstimate:
    """What completion depends on at one upstream, beside its load.

    Times are relative to the means of the paths, so that an upstream that
    served other paths than its neighbours does not look slow.

    Attributes
    ----------
    service, latency : float
        Service time and measured latency at usual speed, as multiples of the
        mean over all upstreams.
    slowdown : float
        The slowdown that was reported last, at `reported_at`.
    mean_slowdown : float
    in_flight : int
        This daemon's calls in flight at the time of the report.
    """

    __slots__ = (
        "in_flight",
        "latency",
        "mean_slowdown",
        "reported_at",
        "service",
        "slowdown",
    )

    def __init__(self):
        self.service = self.latency = 1.0
        self.slowdown = self.mean_slowdown = 1.0
        self.reported_at = float("-inf")
        self.in_flight = 0

    def slowdown_at(self, at):
        """Return the expected slowdown, which decays to the mean."""
        age = at - self.reported_at
        if age > SLOWDOWN_TTL_S:
            return 1.0
        mean = self.mean_slowdown
        return mean + (self.slowdown - mean) * exp(-age / SLOWDOWN_DECAY_S)


class CompletionModel:
    """Expected completion times of the upstreams of one service.

    Attributes
    ----------
    paths : dict of str to PathMeans
    service_s, latency_s : float
        Means over all calls, seconds.
    """

    def __init__(self):
        self.paths = {}
        self.service_s = self.latency_s = MIN_TIME_S

    def record(self, upstream, path_key, answer, elapsed, at):
        """Update the estimate of an upstream from an answer with a load.

        Parameters
        ----------
        upstream : Upstream
        path_key : str
        answer : Answer
        elapsed : float
            Seconds from the attempt to its answer.
        at : float
        """
        load, host = answer.load, upstream.host
        host.in_flight = upstream.in_flight
        host.reported_at = at
        host.slowdown = slowdown = load.slowdown
        host.mean_slowdown += MEAN_SLOWDOWN_WEIGHT * (slowdown - host.mean_slowdown)
        if answer.kind is not None or answer.status >= SERVER_ERROR:
            return
        service_s = load.service_ms / 1_000
        if service_s < MIN_TIME_S:
            service_s = MIN_TIME_S
        latency_s = elapsed / slowdown
        if latency_s < MIN_TIME_S:
            latency_s = MIN_TIME_S
        means = self.paths.get(path_key)
        if means is None:
            if len(self.paths) >= MAX_PATHS:
                return
            means = self.paths[path_key] = PathMeans(service_s, latency_s)
        means.service_s += PATH_WEIGHT * (service_s - means.service_s)
        means.latency_s += PATH_WEIGHT * (latency_s - means.latency_s)
        self.service_s += PATH_WEIGHT * (means.service_s - self.service_s)
        self.latency_s += PATH_WEIGHT * (means.latency_s - self.latency_s)
        host.service += SPEED_WEIGHT * (service_s / means.service_s - host.service)
        host.latency += SPEED_WEIGHT * (latency_s / means.latency_s - host.latency)

    def expected(self, upstream, at):
        """Return the seconds until an upstream is expected to answer a call.

        The square of the usage covers what the report does not show: calls of
        other daemons that are on their way, and the spread of service times.
        The result is at least the measured latency times one more than the
        usage, so that a wrong report of the target does not make it preferred.
        """
        host, load = upstream.host, upstream.load
        own = upstream.in_flight
        if load is None:
            return self.latency_s * (1.0 + own / max(1, upstream.member.slots))
        # No `max` with a constant: it takes as long as the arithmetic here,
        # and each choice compares two upstreams or four.
        limit = load.limit if load.limit > 1 else 1
        weight = exp((upstream.load_updated_at - at) / LOAD_DECAY_S)
        ahead = load.queued
        if load.in_flight > limit:
            ahead += load.in_flight - limit
        ahead *= weight
        if own > host.in_flight:
            ahead += own - host.in_flight
        usage = 1.0 + ((load.in_flight + load.queued) * weight + own) / limit
        completion = (ahead / limit + 1.0) * self.service_s * host.service
        measured = self.latency_s * host.latency
        slowdown = host.slowdown_at(at)
        return max(completion * usage, measured, MIN_TIME_S) * usage * slowdown
