"""Keeps an overload from shutting out the requests of one call path."""

import math
from dataclasses import dataclass, field

from papayabay_core.calls import SERVER_ERROR
from papayabay_core.errors import ErrorKind
from papayabay_core.utils.clock import now

AVERAGING_SECONDS = 5.0
"""Time constant of the counts of requests."""
MIN_REQUESTS = 4.0
"""Recent requests of a path without which its share is not judged."""
MAX_PATHS = 256
"""Most paths that are counted; the oldest entry is evicted for a new one."""
LOST_TO_LOAD = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.TARGET_SHED,
        ErrorKind.RETRIES_SPENT,
        ErrorKind.LIFETIME_TOO_SHORT,
        ErrorKind.EXPIRED_UNSENT,
        ErrorKind.REFUSED_BELOW,
        ErrorKind.EXPIRED,
    }
)
"""Ends of requests that a higher importance class could have prevented."""


@dataclass(slots=True)
class RequestCounts:
    """Exponentially decaying counts of requests.

    Attributes
    ----------
    at : float
        Time for which the counts are valid, in seconds.
    """

    at: float
    served: float = 0.0
    lost: float = 0.0

    def decay(self, at):
        """Bring the counts to a later time."""
        factor = math.exp((self.at - at) / AVERAGING_SECONDS)
        self.served *= factor
        self.lost *= factor
        self.at = at

    def record(self, is_served, at):
        """Count one request."""
        self.decay(at)
        if is_served:
            self.served += 1.0
        else:
            self.lost += 1.0

    @property
    def served_share(self):
        """Share of the counted requests that were served; 1.0 without any."""
        total = self.served + self.lost
        return self.served / total if total else 1.0


@dataclass(slots=True)
class ServedShares:
    """Shares of the requests that entered here and were served, by path.

    Requests are served in the order of their classes, so that the important
    ones of an overload can shut out all others for as long as it lasts. The
    policy names the least share of a path's requests to serve, as a multiple
    of the share of all requests that is served. While a path falls short of
    it, the entry treats this part of its requests as critical: these are
    served at least as often as all requests.

    Attributes
    ----------
    clock : callable
        Seconds.
    """

    clock: object = now
    total: RequestCounts = field(init=False)
    paths: dict[str, RequestCounts] = field(default_factory=dict)

    def __post_init__(self):
        self.total = RequestCounts(self.clock())

    def record(self, path_key, answer):
        """Count a request that was served, or lost to overload.

        Parameters
        ----------
        path_key : str
        answer : Answer
        """
        is_served = answer.kind is None and answer.status < SERVER_ERROR
        if not is_served and answer.kind not in LOST_TO_LOAD:
            return
        counts = self.paths.get(path_key)
        moment = self.clock()
        if counts is None:
            if len(self.paths) >= MAX_PATHS:
                del self.paths[next(iter(self.paths))]
            counts = self.paths[path_key] = RequestCounts(moment)
        counts.record(is_served, moment)
        self.total.record(is_served, moment)

    def falls_short(self, path_key, min_served_share):
        """Return whether too few of a path's requests are served.

        Parameters
        ----------
        path_key : str
        min_served_share : float
            Least share of the path's requests to serve, as a multiple of the
            share of all requests that is served.
        """
        counts = self.paths.get(path_key)
        if counts is None:
            return False
        counts.decay(self.clock())
        if counts.served + counts.lost < MIN_REQUESTS:
            return False
        return counts.served_share < min_served_share * self.total.served_share
