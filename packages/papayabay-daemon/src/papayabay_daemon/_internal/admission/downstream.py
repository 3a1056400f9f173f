"""Early refusal of calls that a downstream service would refuse."""

from papayabay_core.importance import ADMIT_ALL

CACHE_TTL_S = 0.02


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

    def closed(self, now):
        """Return the closed paths, cached for `CACHE_TTL_S` seconds."""
        if now >= self.cached_until:
            self.refresh(now)
        return self.cached_paths

    def refresh(self, now):
        """Read the closed paths from the source."""
        self.cached_paths = self.source()
        self.cached_until = now + CACHE_TTL_S

    def refuses(self, call, now):
        """Whether a downstream service would refuse a call."""
        if now >= self.cached_until:
            self.refresh(now)
        if not self.cached_paths:
            return False
        return call.level > self.cached_paths.get(call.path_key, ADMIT_ALL)
