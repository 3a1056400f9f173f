"""The most that a fleet could complete at best: its bottleneck's bound."""

from collections import defaultdict
from dataclasses import dataclass

from papayabay_core.importance import Importance

MOST_DEPTH = 64


class EndlessGraph(Exception):
    """A call graph calls itself."""


@dataclass(slots=True)
class Bound:
    """What the bottleneck allows.

    Attributes
    ----------
    service : str
        The bottleneck.
    rate : float
        Requests per second of the mix.
    rates : dict of str to float
        The same bound by service.
    """

    service: str
    rate: float
    rates: dict[str, float]


def bottleneck(services, calls, slow=None):
    """Return the highest rate of requests that a fleet could complete.

    For each service: slots of all upstreams, over the slot seconds that
    one request of the mix needs there. Where a target holds its slot while
    its own calls run, their time without any queueing counts too.

    Parameters
    ----------
    services : list of ServicePlan
    calls : list of CallMix
    slow : dict of str to float
        Factor on the service times of a service.

    Returns
    -------
    Bound
    """
    graph = Graph(services, slow or {})
    needed = defaultdict(float)
    total = sum(call.weight for call in calls)
    for call in calls:
        graph.add_needs(needed, call.service, call.path, call.weight / total)
    rates = {
        name: graph.slots(name) / seconds for name, seconds in needed.items() if seconds
    }
    slowest = min(rates, key=rates.get)
    return Bound(slowest, rates[slowest], rates)


def best_goodput(services, calls, offered, slow=None):
    """Return the goodput at best when more important calls go first.

    Calls are taken by importance until a service has no slot time left. Of
    equally important calls those first in the list go first.

    Parameters
    ----------
    services : list of ServicePlan
    calls : list of CallMix
    offered : dict of str to float
        Requests per second by call name.
    slow : dict of str to float

    Returns
    -------
    dict of str to float
        Requests per second by call name.
    """
    graph = Graph(services, slow or {})
    left = {service.name: graph.slots(service.name) for service in services}
    served = {}
    for call in sorted(calls, key=lambda call: Importance[call.importance.upper()]):
        needed = defaultdict(float)
        graph.add_needs(needed, call.service, call.path, 1.0)
        fits = (left[name] / seconds for name, seconds in needed.items() if seconds)
        rate = min(offered.get(call.name, 0.0), *fits)
        served[call.name] = rate
        for name, seconds in needed.items():
            left[name] -= rate * seconds
    return served


class Graph:
    """The call graph of a fleet.

    Parameters
    ----------
    services : list of ServicePlan
    slow : dict of str to float
    """

    def __init__(self, services, slow):
        self.services = {service.name: service for service in services}
        self.slow = slow

    def slots(self, name):
        """Return the slots of all upstreams of a service."""
        service = self.services[name]
        return service.slots * service.upstreams

    def path_of(self, name, path):
        """Return what a service does for a path: the longest prefix wins."""
        matching = [
            one for one in self.services[name].paths if path.startswith(one.prefix)
        ]
        return max(matching, key=lambda one: len(one.prefix))

    def add_needs(self, needed, name, path, visits, depth=0):
        """Add the slot seconds of a call and all below it."""
        if depth > MOST_DEPTH:
            raise EndlessGraph(name)
        done = self.path_of(name, path)
        needed[name] += visits * self.hold_seconds(name, done)
        for call in done.calls:
            self.add_needs(needed, call.service, call.path, visits, depth + 1)

    def hold_seconds(self, name, done):
        """Return how long a call of a path holds its slot at best."""
        work = done.work.mean_ms / 1_000 * self.slow.get(name, 1.0)
        if not self.services[name].holds_slot:
            return work
        return work + self.below_seconds(done)

    def below_seconds(self, done, depth=0):
        """Return the time of a path's own calls without any queueing."""
        if depth > MOST_DEPTH:
            raise EndlessGraph(done.prefix)
        times = [self.call_seconds(call, depth) for call in done.calls]
        return max(times, default=0.0) if done.parallel else sum(times)

    def call_seconds(self, call, depth):
        """Return the time of one call with all below it."""
        done = self.path_of(call.service, call.path)
        work = done.work.mean_ms / 1_000 * self.slow.get(call.service, 1.0)
        return work + self.below_seconds(done, depth + 1)
