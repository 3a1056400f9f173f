"""Routes map the host and path of a request to a service and its rule."""

import itertools
from bisect import bisect_right
from dataclasses import dataclass

from papayabay_core.importance import Importance
from papayabay_core.policy.document import Objective, RouteDeclaration
from papayabay_core.policy.rule import CallRule

GOOD_SHARE = 0.99
"""Objective for the share of a route's requests answered within its latency.
The burn report needs such a share, and routes don't declare one."""


@dataclass(frozen=True, slots=True)
class Route:
    """A route, compiled for looking up requests.

    Attributes
    ----------
    prefix : str
        Path prefix; begins and ends with a slash.
    rules : tuple of CallRule
        One for each service with a weight above 0; none if it is disabled.
    bounds : tuple of int
        Cumulative weights of the services; the last one is the total.
    """

    prefix: str
    rules: tuple[CallRule, ...]
    bounds: tuple[int, ...]

    def pick(self, random):
        """Return the rule of a service chosen at random by weight.

        The choice is final, also when the service refuses the request: moving
        refused requests would give another service more than its share.

        Returns
        -------
        CallRule or None
            None if the route is disabled.
        """
        if not self.rules:
            return None
        if len(self.rules) == 1:
            return self.rules[0]
        drawn = random.randrange(self.bounds[-1])
        return self.rules[bisect_right(self.bounds, drawn)]


class RouteTable:
    """All routes, by host, longest prefix first.

    Parameters
    ----------
    declarations : list of RouteDeclaration
    """

    def __init__(self, declarations=()):
        self.hosts = {}
        for declaration in declarations:
            routes = self.hosts.setdefault(declaration.host.lower(), [])
            routes.append(compile_route(declaration))
        for routes in self.hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host, path):
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            Host of the request; case is ignored.
        path : str
            Path of the request, with or without query.
        """
        plain = path.partition("?")[0]
        routes = self.hosts.get(host.lower(), ())
        for route in routes:
            if plain.startswith(route.prefix):
                return route
        return None


def compile_route(declaration: RouteDeclaration):
    """Return the `Route` of a declaration."""
    services = () if declaration.disabled else declaration.services
    weighted = [one for one in services if one.weight]
    return Route(
        prefix=declaration.prefix,
        rules=tuple(rule_of(declaration, one.service) for one in weighted),
        bounds=tuple(itertools.accumulate(one.weight for one in weighted)),
    )


def rule_of(declaration, service):
    """Return the rule for requests of a route to one of its services."""
    objective = None
    if declaration.latency_ms is not None:
        objective = Objective(good_share=GOOD_SHARE, latency_ms=declaration.latency_ms)
    return CallRule(
        service=service,
        name=declaration.name,
        importance=Importance[declaration.importance.upper()],
        idempotent=declaration.idempotent,
        at_most_once="attempt",
        deadline_ms=declaration.timeout_ms,
        retry_credits=declaration.retry_credits,
        objective=objective,
        attempts=declaration.attempts,
        public=declaration.public,
    )
