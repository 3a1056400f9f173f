"""State of admission control for the status endpoint."""


def plain_status(control, now):
    """Return the state of a control as plain values.

    Parameters
    ----------
    control : AdmissionControl
    now : float

    Returns
    -------
    dict
    """
    return {
        "scheme": control.scheme_name,
        "in_flight": control.in_flight,
        "queued": control.scheme.queue.size,
        "limit": control.scheme.limit(now),
        "slots": control.slot_limit.slots,
        "rate_per_s": control.rate_limit.rate,
        "queue_ms": control.mean_queue_s * 1_000,
        "service_ms": control.times.overall.mean * 1_000,
        "admit_level": control.scheme.level(now),
        "repeat_level": control.repeat_level.level,
        "slowdown": control.host_speed.current(now),
        "slow_spells": control.host_speed.slow_spells,
        "leaving": control.leaving,
        **control.counters.plain(),
    }
