"""Where the daemon's counters come from, by part."""

from dataclasses import asdict
from functools import partial

from papayabay_daemon._internal.metrics.members import member_counters


def counter_sources(daemon):
    """Return, by part, what returns its counters now.

    Parameters
    ----------
    daemon : Daemon
        Its doors and supervisors need not be there before a source is called.
    """
    return {
        "calls": partial(asdict, daemon.call_components.counters),
        "admission": daemon.admission.counters.plain,
        "links": daemon.links.counters.as_dict,
        "routing": partial(dict, daemon.router.counters),
        "retries": partial(dict, daemon.retries.stops),
        "repeats": daemon.arrivals.totals,
        "idempotency": partial(key_counters, daemon.gate),
        "store": partial(dict, daemon.gate.claims.counters),
        "doors": partial(door_counters, daemon),
        "quarantine": partial(quarantine_counters, daemon),
        "accounts": partial(account_counters, daemon),
        "target": partial(dict, daemon.target.crash_detector.counters),
        "cancel_notices": partial(dict, daemon.target.notices.counters),
        "configuration": partial(dict, daemon.configuration.counts),
        "members": partial(member_counters, daemon.membership),
        "store_eras": lambda: {"changes": daemon.table.era.changes},
        "restarts": partial(restart_counters, daemon),
    }


def key_counters(gate):
    """Return what was counted of keys, and of the table of them."""
    return {**gate.counters, **gate.key_table.counters}


def quarantine_counters(daemon):
    """Return the counters of quarantine and of its propagation."""
    propagation = daemon.quarantine_propagation
    registry = daemon.quarantine_registry
    parts = daemon.quarantine, registry, propagation, propagation.rows
    return {name: count for part in parts for name, count in part.counters.items()}


def account_counters(daemon):
    """Return what was counted of keys, and of tokens taken and granted."""
    parts = daemon.authenticator, daemon.owner_limiter, daemon.limit_owner
    return {name: count for part in parts for name, count in part.counters.items()}


def door_counters(daemon):
    """Return requests and refusals by door."""
    return {
        "caller": dict(daemon.caller_door.counters),
        "target": dict(daemon.listeners[0].counters),
        "status": dict(daemon.status_door.counters),
    }


def restart_counters(daemon):
    """Return how often each supervised part was started again."""
    restarts = {**daemon.supervisor.restarts, **daemon.control.restarts}
    return {name.replace(" ", "_"): count for name, count in restarts.items()}
