"""Reads and fills in a routing table's figures, for snapshots of calls."""

from papayabay_core.utils.clock import whole_ms
from papayabay_daemon._internal.calls.snapshot_messages import (
    PathFigures,
    ServiceFigures,
)
from papayabay_daemon._internal.routing.path_work import WORK_TTL_S, valid_work

NEVER = float("-inf")


def read_figures(table):
    """Return the `ServiceFigures` of all services, the latest first.

    Only figures that are still in use are returned.

    Parameters
    ----------
    table : RoutingTable
    """
    at = table.clock()
    pools = sorted(table.pools.items(), key=lambda item: -item[1].hints.updated_at)
    return [
        ServiceFigures(
            service,
            whole_ms(at - pool.hints.updated_at),
            pool.hints.own_level,
            pool.hints.path_levels,
            path_figures(pool.work, at),
        )
        for service, pool in pools
        if at - pool.hints.updated_at <= WORK_TTL_S
    ]


def path_figures(work, at):
    """Return the `PathFigures` of a pool's work."""
    return [
        PathFigures(path_key, whole_ms(at - average.updated_at), average.services)
        for path_key, average in work.averages.items()
        if average.services and at - average.updated_at <= WORK_TTL_S
    ]


def adopt_figures(table, figures):
    """Take over a peer's figures of a service; return the number of paths.

    Figures of this daemon's own calls are better, and are kept.

    Parameters
    ----------
    table : RoutingTable
    figures : ServiceFigures
    """
    pool = table.pools.get(figures.service)
    if pool is None:
        pool = table.add_pool(figures.service)
    at = table.clock()
    if pool.hints.updated_at == NEVER:
        pool.hints.own_level = figures.level
        pool.hints.path_levels = figures.path_levels
        pool.hints.updated_at = at - figures.age_ms / 1_000
    unknown = [
        path for path in figures.paths if path.path_key not in pool.work.averages
    ]
    for path in unknown:
        known_at = at - path.age_ms / 1_000
        pool.work.add(path.path_key, valid_work(path.work_ms), known_at)
    return len(unknown)
