"""Counts of the runs of each path, and of the calls that they made."""

from dataclasses import dataclass, field
from itertools import islice

from papayabay_core.calls import SERVER_ERROR

MIN_RUNS = 8
"""Runs of a path before the share of its runs that call a child counts."""
DECAY_RUNS = 256
"""Runs of a path after which its counts are halved, so that calls which it no
longer makes lose their weight."""
MAX_PATHS = 256
"""Most paths that are tracked; further ones are ignored."""
MAX_CHILDREN = 32
"""Most child paths whose calls are counted for one path."""


@dataclass(slots=True)
class PathRuns:
    """Runs of one path.

    Attributes
    ----------
    runs : int
        Runs that the target has answered.
    callers : dict of str to int
        By child path, how many of these runs called it.
    complete_runs : int
        Runs without a failure.
    calls : dict of str to int
        By child path, the calls that the complete runs made.
    first_children : set of str
        Child paths known before `MIN_RUNS` runs have ended: those that a run
        in flight has called, and the usual ones of a peer.
    makes_calls : bool
        Whether any run has made a call, or a peer has reported one.
    """

    runs: int = 0
    callers: dict[str, int] = field(default_factory=dict)
    complete_runs: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    first_children: set[str] = field(default_factory=set)
    makes_calls: bool = False

    def mean_calls(self):
        """Yield each child path with its mean number of calls in a run."""
        for child, count in self.calls.items():
            yield child, count / self.complete_runs


class RunCounts:
    """Counts the runs at the target beside this daemon, by path.

    Read by `ChainModel` and `WorkModel`.

    Attributes
    ----------
    paths : dict of str to PathRuns
    """

    def __init__(self):
        self.paths = {}

    def call_started(self, path_key, child):
        """Record a call of a run in flight, until enough runs have ended.

        Parameters
        ----------
        path_key, child : str
            Paths of the run and of its call.
        """
        path = self.find(path_key, makes_calls=True)
        if path is None or path.runs >= MIN_RUNS:
            return
        path.makes_calls = True
        if len(path.first_children) < MAX_CHILDREN:
            path.first_children.add(child)

    def find(self, path_key, makes_calls):
        """Return a path's runs; None for a new one beyond `MAX_PATHS`.

        A path that makes calls takes the place of one that makes none.
        """
        path = self.paths.get(path_key)
        if path is not None:
            return path
        if len(self.paths) >= MAX_PATHS and not (makes_calls and self.evict()):
            return None
        path = self.paths[path_key] = PathRuns()
        return path

    def run_ended(self, live, answer):
        """Count the run of a call that the target has answered.

        A run that failed, or one of whose calls failed, may have ended before
        its last call. If it counted as complete, the mean number of calls
        would fall with every refusal in an overload.

        Parameters
        ----------
        live : LiveCall
        answer : Answer
        """
        failed = live.downstream_failed or answer.status >= SERVER_ERROR
        self.record(live.call.path_key, live.called_paths, not failed)

    def record(self, path_key, called, is_complete):
        """Count a run of a path.

        Parameters
        ----------
        path_key : str
        called : dict of str to int
            Number of calls by child path.
        is_complete : bool
        """
        path = self.find(path_key, makes_calls=bool(called))
        if path is None:
            return
        path.runs += 1
        path.complete_runs += is_complete
        if called:
            self.count_calls(path, called, is_complete)
        if path.runs >= DECAY_RUNS:
            path.runs //= 2
            path.callers = halved(path.callers)
        if path.complete_runs >= DECAY_RUNS:
            path.complete_runs //= 2
            path.calls = halved(path.calls)

    def evict(self):
        """Remove a path that has made no calls; return whether there was one.

        Nobody reads the counts of such paths, so they must not keep a path
        that makes calls out of the table.
        """
        for path_key, path in self.paths.items():
            if not path.makes_calls:
                del self.paths[path_key]
                return True
        return False

    def count_calls(self, path, called, is_complete):
        """Count the calls of one run."""
        path.makes_calls = True
        for child, count in called.items():
            path.callers[child] = path.callers.get(child, 0) + 1
            if not is_complete:
                continue
            known = path.calls.get(child)
            if known is not None:
                path.calls[child] = known + count
            elif len(path.calls) < MAX_CHILDREN:
                path.calls[child] = count

    def adopt(self, path_key, runs, calls):
        """Take over a peer's counts of a path without calls here so far."""
        path = self.find(path_key, makes_calls=True)
        if path is None or path.calls:
            return
        path.makes_calls = True
        path.complete_runs = runs
        path.calls = dict(islice(calls.items(), MAX_CHILDREN))
        usual = (child for child, count in path.calls.items() if 2 * count >= runs)
        path.first_children.update(usual)


def halved(counts):
    """Return counts halved, without those that fall to zero."""
    return {child: count // 2 for child, count in counts.items() if count > 1}
