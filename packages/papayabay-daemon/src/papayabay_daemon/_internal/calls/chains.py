"""Model of the services that each path calls, learned from live calls.

If a service deep in the call graph refuses a request, the work of all services
above it is wasted. So the admission levels of the services that a path calls
lower the path's own level. That level is propagated to the callers with each
answer, until the entry refuses such a request before any work is done for it.
"""

from dataclasses import dataclass, field

from papayabay_core.calls import MOST_CLOSED
from papayabay_core.importance import ADMIT_ALL

DECAY_RUNS = 256
"""Runs of a path after which its counts are halved."""
USUAL_CALL_SHARE = 0.5
"""Least share of a path's runs in which a child is called that counts."""
MIN_RUNS = 8
"""Runs of a path before its children count."""
MAX_PATHS = 256
"""Most paths that are tracked; further ones are ignored."""


@dataclass(slots=True)
class PathCalls:
    """Number of runs of a path, and of those that called each child path."""

    runs: int = 0
    children: dict[str, int] = field(default_factory=dict)


class ChainModel:
    """Tracks in which share of its runs a path calls each other path.

    The counts are halved regularly, so that calls which a path no longer
    makes lose their weight.

    Parameters
    ----------
    router : Router
        Gives the admission levels of the called services.
    """

    def __init__(self, router):
        self.router = router
        self.paths = {}

    def note(self, path_key, called):
        """Count one finished run of a path and the path keys it called."""
        path = self.paths.get(path_key)
        if path is None:
            if len(self.paths) >= MAX_PATHS:
                return
            path = self.paths.setdefault(path_key, PathCalls())
        path.runs += 1
        for child in called:
            path.children[child] = path.children.get(child, 0) + 1
        if path.runs >= DECAY_RUNS:
            self.decay(path)

    def decay(self, path):
        """Halve a path's counts and evict the children that fall to zero."""
        path.runs //= 2
        path.children = {
            child: count // 2 for child, count in path.children.items() if count > 1
        }

    def closed_paths(self):
        """Return the paths whose downstream services refuse some calls.

        Returns
        -------
        dict of str to int
            Lowest downstream admission level by path key; at most
            `MOST_CLOSED` paths, the lowest levels first.
        """
        levels = ((path_key, self.level_below(path_key)) for path_key in self.paths)
        closed = [entry for entry in levels if entry[1] < ADMIT_ALL]
        closed.sort(key=lambda entry: entry[1])
        return dict(closed[:MOST_CLOSED])

    def level_below(self, path_key):
        """Return the lowest level of the services that a path usually calls.

        Services that fewer runs call are ignored: if a path calls a busy
        service only rarely, refusing all its requests would cost more than
        it saves.
        """
        path = self.paths.get(path_key)
        if path is None or path.runs < MIN_RUNS:
            return ADMIT_ALL
        min_count = USUAL_CALL_SHARE * path.runs
        levels = (
            self.router.path_level(service_of(child), child)
            for child, count in path.children.items()
            if count >= min_count
        )
        return min(levels, default=ADMIT_ALL)


def service_of(path_key):
    """Return the service that a path key belongs to."""
    return path_key.partition("/")[0]
