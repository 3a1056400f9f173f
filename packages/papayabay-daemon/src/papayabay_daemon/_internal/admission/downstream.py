"""Early refusal of calls that a downstream service would refuse."""

from papayabay_core.importance import ADMIT_ALL, Importance

CACHE_TTL_S = 0.02
MAX_PATHS = 1_024
"""Paths with a hold; the oldest one is evicted for a new one."""


def no_closed_paths():
    """Return no closed paths: the target calls no other service."""
    return {}


class DownstreamLevels:
    """Cached admission levels of the downstream services of each call path.

    Attributes
    ----------
    source : callable
        Returns a dict from path key to the estimated level that downstream
        services admit. It holds only closed paths, those on which downstream
        services refuse some calls.
    """

    def __init__(self):
        self.source = no_closed_paths
        self.cached_paths = {}
        self.cached_until = float("-inf")
        self.held_until = {}

    def closed(self, now):
        """Return the closed paths, cached for `CACHE_TTL_S` seconds."""
        if now >= self.cached_until:
            self.refresh(now)
        return self.cached_paths

    def refresh(self, now):
        """Read the closed paths from the source."""
        self.cached_paths = self.source()
        self.cached_until = now + CACHE_TTL_S

    def refuses(self, call, hold_s, now):
        """Whether a downstream service would refuse a call.

        After a critical call was refused, calls of all other classes on its
        path are refused for `hold_s` seconds, even if the downstream level
        rises meanwhile.
        """
        if now >= self.cached_until:
            self.refresh(now)
        if not self.cached_paths and not self.held_until:
            return False
        critical = call.importance is Importance.CRITICAL
        if not critical and now < self.held_until.get(call.path_key, 0.0):
            return True
        if call.level <= self.cached_paths.get(call.path_key, ADMIT_ALL):
            return False
        if critical:
            self.hold(call.path_key, now + hold_s)
        return True

    def hold(self, path_key, until):
        """Refuse calls that are not critical on a path until a time."""
        if path_key not in self.held_until and len(self.held_until) >= MAX_PATHS:
            del self.held_until[next(iter(self.held_until))]
        self.held_until[path_key] = until
