"""Model of the work that one run of a path takes of scarce services.

Requests of one class that take less of a scarce service go first. Each daemon
adds up, for the paths that its target runs, what the path's calls take, and
reports the sum to its callers with each answer, until the entry knows what a
whole request takes.
"""

from papayabay_core.calls import MAX_WORK_SERVICES
from papayabay_core.importance import ADMIT_ALL
from papayabay_daemon._internal.calls.chains import service_of

SCARCE_HOLD_S = 1.0
"""How long a service stays scarce after its threshold has opened. It opens
between two waves of refusals, and the order would change each time."""
CACHE_TTL_S = 0.02
MAX_WORK_MS = 1e7
"""Largest amount that is reported. Paths that call each other would otherwise
raise each other's sums without end."""
NO_WORK = {}
"""Shared by all load states without work; never changed."""


class WorkModel:
    """Estimates the slot time that a run takes of each scarce service.

    Parameters
    ----------
    router : Router
        Gives the work of the called paths.
    policy_source : callable
        Returns the `Policy` in force.
    counts : RunCounts
        Mean numbers of calls of a run.

    Attributes
    ----------
    scarce_until : float
        Time until which the service beside this daemon counts as scarce.
    """

    def __init__(self, router, policy_source, counts):
        self.router = router
        self.policy_source = policy_source
        self.counts = counts
        self.scarce_until = float("-inf")
        self.cached = {}
        self.cached_until = float("-inf")

    def work_ms(self, path_key, service_ms, level, now):
        """Return the slot milliseconds of a run, by scarce service.

        Parameters
        ----------
        path_key : str
            Path of the target beside this daemon.
        service_ms : float
            Mean slot time of a run at that target.
        level : int
            The admission threshold of that target.
        now : float

        Returns
        -------
        dict of str to float
            Largest first, at most `MAX_WORK_SERVICES`; not to be changed.
        """
        if level < ADMIT_ALL:
            self.scarce_until = now + SCARCE_HOLD_S
        if now >= self.cached_until:
            self.cached = {}
            self.cached_until = now + CACHE_TTL_S
        work = self.cached.get(path_key)
        if work is None:
            work = self.cached[path_key] = self.add_up(path_key, service_ms, now)
        return work

    def add_up(self, path_key, service_ms, now):
        """Return the work of a run as the sum of its own and its calls'."""
        if self.policy_source().decisions.equals != "work":
            return NO_WORK
        work = {}
        if now < self.scarce_until:
            work[service_of(path_key)] = service_ms
        path = self.counts.paths.get(path_key)
        if path is not None and path.calls:
            for child, mean in path.mean_calls():
                below = self.router.path_services(service_of(child), child)
                for service, amount in below.items():
                    work[service] = work.get(service, 0.0) + mean * amount
        return largest(work) if work else NO_WORK


def largest(work):
    """Return the largest amounts, rounded to a tenth and bounded."""
    entries = sorted(work.items(), key=lambda entry: -entry[1])
    return {
        service: round(min(amount, MAX_WORK_MS), 1)
        for service, amount in entries[:MAX_WORK_SERVICES]
    }
