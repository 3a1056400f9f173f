"""Work of call paths at scarce services, as the upstreams report it."""

from papayabay_core.calls import MAX_WORK_SERVICES

WORK_TTL_S = 1.5
"""Age from which a path's figures are unknown. A path of which only a few
requests a second are admitted is still updated within this time."""
MIN_WEIGHT = 0.1
"""Least weight of an answer in the moving average. Upstreams of one service
differ by up to three times in speed."""
AVERAGING_S = 1.0
"""Time between two answers of a path from which only the latest counts."""
MIN_WORK_MS = 0.1
"""Average below which a service is dropped: answers no longer name it."""
MAX_WORK_MS = 1e7
MAX_PATHS = 256
"""Most paths of one service; the oldest entry is evicted for a new one."""
NO_WORK = {}
"""Returned where nothing is known; never changed."""


class WorkAverage:
    """Moving average of a path's work over the answers of all upstreams.

    Attributes
    ----------
    services : dict of str to float
        Slot milliseconds of a run, by scarce service.
    total : float
        Their sum.
    updated_at : float
    """

    __slots__ = ("services", "total", "updated_at")

    def __init__(self, services, at):
        self.replace(services, at)

    def replace(self, services, at):
        """Take over reported figures as they are."""
        # A copy, as the averages are updated in place.
        self.services = dict(services)
        self.total = sum(services.values())
        self.updated_at = at

    def update(self, reported, at):
        """Move the averages towards reported figures."""
        weight = max(MIN_WEIGHT, (at - self.updated_at) / AVERAGING_S)
        if weight >= 1.0:
            self.replace(reported, at)
            return
        services = self.services
        total = 0.0
        if services.keys() == reported.keys():
            # Nearly all answers of a path name the same services.
            for service, amount in reported.items():
                average = services[service]
                average += weight * (amount - average)
                if average < MIN_WORK_MS:
                    del services[service]
                    continue
                services[service] = average
                total += average
        else:
            total = self.update_services(reported, weight)
        self.total = total
        self.updated_at = at

    def update_services(self, reported, weight):
        """Update the averages of changed services; return their sum."""
        services = self.services
        for service in reported:
            if service not in services and len(services) < MAX_WORK_SERVICES:
                services[service] = 0.0
        for service, average in list(services.items()):
            average += weight * (reported.get(service, 0.0) - average)
            if average < MIN_WORK_MS:
                del services[service]
            else:
                services[service] = average
        return sum(services.values())


class PathWork:
    """Averages of the work of one service's paths.

    Upstreams that report no work count as 0, so that the average holds for a
    call to any of them.

    Attributes
    ----------
    averages : dict of str to WorkAverage
        By path key.
    """

    __slots__ = ("averages",)

    def __init__(self):
        self.averages = {}

    def update(self, path_key, reported, at):
        """Record what an answer reports of its path.

        Parameters
        ----------
        path_key : str
        reported : dict of str to float
        at : float
        """
        average = self.averages.get(path_key)
        if average is None:
            if reported:
                self.add(path_key, valid_work(reported), at)
        elif reported or average.total:
            average.update(valid_work(reported), at)

    def add(self, path_key, services, at):
        """Start a path's average."""
        if len(self.averages) >= MAX_PATHS:
            del self.averages[next(iter(self.averages))]
        self.averages[path_key] = WorkAverage(services, at)

    def services(self, path_key, at):
        """Return a path's work by service; empty if unknown or expired."""
        average = self.averages.get(path_key)
        if average is None or at - average.updated_at > WORK_TTL_S:
            return NO_WORK
        return average.services

    def total(self, path_key, at):
        """Return a path's work in slot milliseconds; 0.0 if unknown."""
        average = self.averages.get(path_key)
        if average is None or at - average.updated_at > WORK_TTL_S:
            return 0.0
        return average.total


def valid_work(reported):
    """Return the amounts that are plausible numbers.

    NaN and infinity can be sent as floats, and would stay in an average.
    """
    for amount in reported.values():
        if not 0.0 < amount <= MAX_WORK_MS:
            break
    else:
        return reported
    return {
        service: amount
        for service, amount in reported.items()
        if 0.0 < amount <= MAX_WORK_MS
    }
