"""What an upstream last said that it refuses, itself and per call path."""

from papayabay_core.calls import MAX_PATH_LEVELS
from papayabay_core.importance import ADMIT_ALL, RANKS, Importance

TRUST_SECONDS = 0.5
RELAX_SECONDS = 0.5
CRITICAL_TRUST_SECONDS = 0.2
NEARLY_OPEN = ADMIT_ALL - RANKS // 64


class Hints:
    """Admission levels of one upstream, or of a service's upstreams together.

    A hint is only as good as the last answer. Kept for too long it would
    hold back calls that the upstream would take: capacity idles, and no
    answer comes that could correct the hint. So it holds for a while, then
    relaxes to "all admitted"; the calls that then go through bring the next
    answer.

    Parameters
    ----------
    service : Hints or None
        What was last heard of any upstream of the service. Upstreams share
        an overload; where nothing fresh is known of one, its neighbours tell
        more than the passing of time. Without that, each of them would be
        tried again on its own, and each try wastes the work done above.
    weight : float
        Of one answer; less than 1 averages over several upstreams.

    Attributes
    ----------
    own : int
        Level that the upstream itself admits.
    closed : dict of str to int
        Level that the services below it admit, by call path; a path that
        isn't named is open. Every answer tells of all paths, so that a path
        on which all calls are refused stays known as long as others go on.
    heard_at : float
    """

    __slots__ = ("closed", "heard_at", "own", "service", "weight")

    def __init__(self, service=None, weight=1.0):
        self.service = service
        self.weight = weight
        self.own = ADMIT_ALL
        self.closed = {}
        self.heard_at = float("-inf")

    def hear(self, load, at):
        """Take over the levels of an answer."""
        if self.weight < 1.0 and self.fresh(at):
            self.average(load)
        else:
            self.own = load.admit_level
            self.closed = load.path_levels
        self.heard_at = at

    def average(self, load):
        """Move the levels towards those of an answer."""
        self.own = self.moved(self.own, load.admit_level)
        if not self.closed and not load.path_levels:
            return
        levels = {
            path: self.moved(
                self.closed.get(path, ADMIT_ALL), load.path_levels.get(path, ADMIT_ALL)
            )
            for path in self.closed.keys() | load.path_levels.keys()
        }
        lowest_first = sorted(levels.items(), key=lambda entry: entry[1])
        self.closed = {
            path: level
            for path, level in lowest_first[: 2 * MAX_PATH_LEVELS]
            if level < NEARLY_OPEN
        }

    def moved(self, level, heard):
        """Return a level moved towards one that was heard."""
        return int(level + self.weight * (heard - level))

    def fresh(self, at):
        """Return whether it was heard a short while ago."""
        return at - self.heard_at <= TRUST_SECONDS

    def level(self, path_key, at):
        """Return the level of a path that is believed to be admitted now."""
        stale = at - self.heard_at - TRUST_SECONDS
        if stale > 0.0 and self.service is not None:
            return self.service.level(path_key, at)
        level = min(self.own, self.closed.get(path_key, ADMIT_ALL))
        if stale <= 0.0 or level >= ADMIT_ALL:
            return level
        if stale >= RELAX_SECONDS:
            return ADMIT_ALL
        return level + int((ADMIT_ALL - level) * (stale / RELAX_SECONDS))

    def refuses(self, call, level, at):
        """Return whether the upstream is believed to refuse a call."""
        if level <= self.level(call.path_key, at):
            return False
        if call.importance != Importance.CRITICAL:
            return True
        return at - self.heard_at <= CRITICAL_TRUST_SECONDS
