"""Collects the counters of the daemon's components for the metrics."""

from dataclasses import asdict
from functools import partial

from papayabay_daemon._internal.metrics.members import member_counters


def counter_sources(daemon):
    """Return a function for each component that returns its counters.

    The keys are the first parts of the metrics' dotted names.

    Parameters
    ----------
    daemon : Daemon
        Doors and supervisors may still be missing; they are only read when
        their function is called.

    Returns
    -------
    dict of str to callable
    """
    return {
        "calls": partial(asdict, daemon.call_components.counters),
        "admission": partial(admission_counters, daemon.admission),
        "work": partial(work_counters, daemon),
        "links": daemon.links.counters.as_dict,
        "routing": partial(dict, daemon.router.counters),
        "retries": partial(dict, daemon.retry_rules.stops),
        "repeats": daemon.arrival_budget.totals,
        "idempotency": partial(key_counters, daemon.idempotency_gate),
        "store": partial(dict, daemon.idempotency_gate.claims.counters),
        "doors": partial(door_counters, daemon),
        "quarantine": partial(quarantine_counters, daemon),
        "accounts": partial(account_counters, daemon),
        "target": partial(target_counters, daemon),
        "cancel_notices": partial(dict, daemon.target.notices.counters),
        "configuration": partial(dict, daemon.configuration.counts),
        "members": partial(member_counters, daemon.membership),
        "store_eras": lambda: {"changes": daemon.table.era.changes},
        "restarts": partial(restart_counters, daemon),
    }


def admission_counters(admission):
    """Return the counters of admission, and the slow spells of the host."""
    slow_spells = admission.host_speed.slow_spells
    return {**admission.counters.plain(), "slow_spells": slow_spells}


def target_counters(daemon):
    """Return the counters of the target's calls, crashes and processes."""
    target = daemon.target
    return {
        **target.crash_detector.counters,
        **target.counters,
        **daemon.registry.counters,
    }


def key_counters(gate):
    """Return the counters of idempotency keys and of the key table."""
    return {**gate.counters, **gate.key_table.counters}


def quarantine_counters(daemon):
    """Return the counters of quarantine and of its propagation."""
    propagation = daemon.quarantine_propagation
    registry = daemon.quarantine_registry
    sources = daemon.quarantine, registry, propagation, propagation.rows
    return {
        name: count for source in sources for name, count in source.counters.items()
    }


def account_counters(daemon):
    """Return the counters of account keys and of rate limit tokens."""
    sources = (
        daemon.authenticator,
        daemon.owner_limiter,
        daemon.limit_owner,
        daemon.account_shares,
    )
    return {
        name: count for source in sources for name, count in source.counters.items()
    }


def work_counters(daemon):
    """Return the slot time of runs and the counters of snapshots."""
    return {**daemon.admission.work_counters.plain(), **daemon.work_snapshots.counters}


def door_counters(daemon):
    """Return the requests and refusals of each door."""
    return {
        "caller": dict(daemon.caller_door.counters),
        "target": dict(daemon.listeners[0].counters),
        "status": dict(daemon.status_door.counters),
    }


def restart_counters(daemon):
    """Return how often each supervised child was restarted."""
    restarts = {**daemon.supervisor.restarts, **daemon.control_supervisor.restarts}
    return {name.replace(" ", "_"): count for name, count in restarts.items()}
