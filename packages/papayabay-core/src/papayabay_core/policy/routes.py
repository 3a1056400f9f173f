"""Routes: from a request's host and path to a service and its rule."""

import itertools
from bisect import bisect_right
from dataclasses import dataclass

from papayabay_core.importance import Importance
from papayabay_core.policy.document import Objective, RouteDeclaration
from papayabay_core.policy.rule import CallRule

GOOD_SHARE = 0.99
"""Share of a route's requests that are wanted within its latency objective;
the burn report needs one, and routes declare none of their own."""


@dataclass(frozen=True, slots=True)
class Route:
    """A route in the form that requests are looked up by.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash.
    rules : tuple of CallRule
        One for each service that gets a share.
    bounds : tuple of int
        Running sums of the weights; the last one is their total.
    """

    prefix: str
    rules: tuple[CallRule, ...]
    bounds: tuple[int, ...]

    def pick(self, random):
        """Return the rule of one of the services, drawn by weight.

        A request keeps to the service that was drawn, whatever happens to
        it: were one that a full service refuses moved to another, that one
        would get more than its share.
        """
        if len(self.rules) == 1:
            return self.rules[0]
        drawn = random.randrange(self.bounds[-1])
        return self.rules[bisect_right(self.bounds, drawn)]


class RouteTable:
    """All routes by host, the longest prefix first.

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
            As the request names it.
        path : str
            With or without query.
        """
        plain = path.partition("?")[0]
        routes = self.hosts.get(host.lower(), ())
        return next((r for r in routes if plain.startswith(r.prefix)), None)


def compile_route(declaration: RouteDeclaration):
    """Return a declared route ready for look-up."""
    parts = [part for part in declaration.services if part.weight]
    return Route(
        prefix=declaration.prefix,
        rules=tuple(rule_of(declaration, part.service) for part in parts),
        bounds=tuple(itertools.accumulate(part.weight for part in parts)),
    )


def rule_of(declaration, service):
    """Return the rule of a route's requests at one service."""
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
