"""Model of the services that each path usually calls.

If a service deep in the call graph refuses a request, the work of all services
above it is wasted. So the admission levels of the services that a path calls
lower the path's own level. That level is propagated to the callers with each
answer, until the entry refuses such a request before any work is done for it.
"""

from papayabay_core.calls import MAX_PATH_LEVELS
from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.calls.run_counts import MIN_RUNS

USUAL_CALL_SHARE = 0.5
"""Least share of a path's runs in which a child is called that counts."""


class ChainModel:
    """Lowest admission level of the services that a path usually calls.

    Parameters
    ----------
    router : Router
        Gives the admission levels of the called services.
    counts : RunCounts
        Tells in which share of its runs a path calls each other path.
    """

    def __init__(self, router, counts):
        self.router = router
        self.counts = counts

    def closed_paths(self):
        """Return the paths whose downstream services refuse some calls.

        Returns
        -------
        dict of str to int
            Lowest downstream admission level by path key; at most
            `MAX_PATH_LEVELS` paths, the lowest levels first.
        """
        levels = [
            (path_key, self.level_below(path_key))
            for path_key, path in self.counts.paths.items()
            if path.callers or path.first_children
        ]
        closed = [entry for entry in levels if entry[1] < ADMIT_ALL]
        closed.sort(key=lambda entry: entry[1])
        return dict(closed[:MAX_PATH_LEVELS])

    def level_below(self, path_key):
        """Return the lowest level of the services that a path usually calls.

        Services that fewer runs call are ignored: if a path calls a busy
        service only rarely, refusing all its requests would cost more than
        it saves. Before enough runs have ended to tell, each known child
        counts: a fleet that starts in an overload would otherwise pass on what
        is refused below for as long as a whole request takes.
        """
        path = self.counts.paths.get(path_key)
        if path is None:
            return ADMIT_ALL
        children = path.first_children
        if path.runs >= MIN_RUNS:
            min_count = USUAL_CALL_SHARE * path.runs
            children = [
                child for child, count in path.callers.items() if count >= min_count
            ]
        levels = (
            self.router.path_level(service_of(child), child) for child in children
        )
        return min(levels, default=ADMIT_ALL)


def service_of(path_key):
    """Return the service that a path key belongs to."""
    return path_key.partition("/")[0]
