"""Which services a call path goes on to call, learned from live calls.

A request that a service far down will refuse anyway wastes the work of every
service above it. So the admission level of the services that a path calls is
part of the path's own level, and travels up with each answer until the entry
refuses the request before any work is spent.
"""

from dataclasses import dataclass, field

from papayabay_core.calls import MAX_PATH_LEVELS
from papayabay_core.importance import ADMIT_ALL

HALVE_AFTER = 256
USUAL_SHARE = 0.5
LEAST_SEEN = 8
MOST_PATHS = 256


@dataclass(slots=True)
class PathCalls:
    """How often a path was run, and which paths it called meanwhile."""

    runs: int = 0
    children: dict[str, int] = field(default_factory=dict)


class ChainModel:
    """Shares of a path's runs in which it called each path below it.

    Both counts are halved now and then, so that an old habit is forgotten.

    Parameters
    ----------
    router : Router
        Knows the levels of the services called.
    """

    def __init__(self, router):
        self.router = router
        self.paths = {}

    def note(self, path_key, called):
        """Note one ended run of a path and the path keys it called."""
        path = self.paths.get(path_key)
        if path is None:
            if len(self.paths) >= MOST_PATHS:
                return
            path = self.paths.setdefault(path_key, PathCalls())
        path.runs += 1
        for child in called:
            path.children[child] = path.children.get(child, 0) + 1
        if path.runs >= HALVE_AFTER:
            self.halve(path)

    def halve(self, path):
        """Halve a path's counts and drop the children that fall to zero."""
        path.runs //= 2
        path.children = {
            child: count // 2 for child, count in path.children.items() if count > 1
        }

    def closed_paths(self):
        """Return the levels below, for the paths that they close.

        Returns
        -------
        dict of str to int
            By path key, at most `MAX_PATH_LEVELS`, the lowest levels first.
        """
        levels = ((path_key, self.level_below(path_key)) for path_key in self.paths)
        closed = [entry for entry in levels if entry[1] < ADMIT_ALL]
        closed.sort(key=lambda entry: entry[1])
        return dict(closed[:MAX_PATH_LEVELS])

    def level_below(self, path_key):
        """Return the lowest level of the services that a path usually calls.

        Only those that most runs call count: a path that calls a busy
        service now and then would lose far more by a refusal than it saves.
        """
        path = self.paths.get(path_key)
        if path is None or path.runs < LEAST_SEEN:
            return ADMIT_ALL
        enough = USUAL_SHARE * path.runs
        levels = (
            self.router.path_level(service_of(child), child)
            for child, count in path.children.items()
            if count >= enough
        )
        return min(levels, default=ADMIT_ALL)


def service_of(path_key):
    """Return the service that a path key belongs to."""
    return path_key.partition("/")[0]
