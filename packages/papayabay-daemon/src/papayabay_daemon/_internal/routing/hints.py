"""Admission levels that an upstream last reported, of itself and by path."""

from papayabay_core.calls import MAX_PATH_LEVELS
from papayabay_core.importance import ADMIT_ALL, RANKS, Importance

CRITICAL = Importance.CRITICAL
HINT_TTL_SECONDS = 0.5
"""Time for which a reported level is used unchanged."""
RELAX_SECONDS = 0.5
"""Time after the TTL in which a level rises to "all admitted"."""
CRITICAL_HINT_TTL_SECONDS = 0.2
"""Time for which a reported level holds back critical calls. They are refused
last, so not by a level that may be outdated."""
NEARLY_ADMIT_ALL = ADMIT_ALL - RANKS // 64
"""Level from which an average is treated as "all admitted"."""


class AdmissionHints:
    """Admission levels of one upstream, or of all upstreams of a service.

    A hint is only as good as the latest answer. If it were kept too long, it
    would hold back calls that the upstream would admit: capacity would be
    idle, and no answer would come to correct the hint. It is therefore used
    for a short time and then relaxes to "all admitted"; the calls that are
    sent then bring the next answer.

    Parameters
    ----------
    service_hints : AdmissionHints or None
        Hints of all upstreams of the service, used once the own ones are
        stale. Upstreams share an overload, so their neighbours' levels are
        better than a relaxed level. Otherwise each upstream would be tried
        again separately, and each refusal wastes the work done by the callers.
    weight : float
        Weight of one answer; less than 1 averages over several upstreams.

    Attributes
    ----------
    own_level : int
        Level that the upstream itself admits.
    path_levels : dict of str to int
        Level that the services below it admit, by call path; a path that is
        missing has no limit. Each answer reports all paths, so that a path on
        which all calls are refused is updated as long as others are called.
    updated_at : float
    """

    __slots__ = ("own_level", "path_levels", "service_hints", "updated_at", "weight")

    def __init__(self, service_hints=None, weight=1.0):
        self.service_hints = service_hints
        self.weight = weight
        self.own_level = ADMIT_ALL
        self.path_levels = {}
        self.updated_at = float("-inf")

    def update(self, load, at):
        """Take over the levels that an answer reports."""
        if self.weight < 1.0 and at - self.updated_at <= HINT_TTL_SECONDS:
            level = self.own_level
            self.own_level = int(level + self.weight * (load.admit_level - level))
            if self.path_levels or load.path_levels:
                self.average_paths(load.path_levels)
        else:
            self.own_level = load.admit_level
            self.path_levels = load.path_levels
        self.updated_at = at

    def average_paths(self, reported):
        """Update the moving averages of the paths with reported levels."""
        weight = self.weight
        levels = {}
        for path in self.path_levels.keys() | reported.keys():
            level = self.path_levels.get(path, ADMIT_ALL)
            levels[path] = int(level + weight * (reported.get(path, ADMIT_ALL) - level))
        lowest_first = sorted(levels.items(), key=lambda entry: entry[1])
        self.path_levels = {
            path: level
            for path, level in lowest_first[: 2 * MAX_PATH_LEVELS]
            if level < NEARLY_ADMIT_ALL
        }

    def level(self, path_key, at):
        """Return the level that a path is expected to admit now."""
        is_stale = at - self.updated_at > HINT_TTL_SECONDS
        if is_stale and self.service_hints is not None:
            return self.service_hints.level(path_key, at)
        level = self.own_level
        if self.path_levels:
            level = min(level, self.path_levels.get(path_key, ADMIT_ALL))
        return self.relaxed(level, at) if is_stale else level

    def refuses_new(self, level, at):
        """Return whether the upstream itself is expected to refuse a request.

        Unlike `refuses`, it also holds back critical requests for as long as
        a level is known: an overload by critical requests alone ends only if
        their entries refuse a part of them. The services below are covered by
        `path_level`, once for all upstreams.
        """
        # A relaxed level is never below the reported one, so most calls need
        # the comparison with the reported one only.
        return level > self.own_level and level > self.relaxed(self.own_level, at)

    def path_level(self, path_key, at):
        """Return the level that the services below admit on a path.

        Asked of the hints of a whole service: all its upstreams call the same
        services below. Each one's figure is late or early by chance, and if
        any of them sufficed, the highest would decide.
        """
        return self.relaxed(self.path_levels.get(path_key, ADMIT_ALL), at)

    def relaxed(self, level, at):
        """Return a reported level, relaxed for the time since its answer."""
        stale_for = at - self.updated_at - HINT_TTL_SECONDS
        if stale_for <= 0.0 or level >= ADMIT_ALL:
            return level
        if stale_for >= RELAX_SECONDS:
            return ADMIT_ALL
        return level + int((ADMIT_ALL - level) * (stale_for / RELAX_SECONDS))

    def refuses(self, call, level, at):
        """Return whether the upstream is expected to refuse a call."""
        if level <= self.level(call.path_key, at):
            return False
        if call.importance != CRITICAL:
            return True
        return at - self.updated_at <= CRITICAL_HINT_TTL_SECONDS
