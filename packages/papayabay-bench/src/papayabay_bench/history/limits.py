"""Limits that the rules compare a history with."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Numeric limits that the system has to keep.

    Attributes
    ----------
    retries : int
        Retries of one request, summed over all hops.
    deregistration_seconds : float
        Time from the begin of a target's withdrawal until it gets no new
        work.
    propagation_seconds : float
        Time from a patch's acceptance until it is in force at all daemons.
    cancellation_seconds : float
        Time from a client's disconnect until no call is started for it.
    lifetime_seconds : float
        Longest lifetime of a request; policy's `deadline_ms`.
    lifetime_slack_seconds : float
        Delay that a busy machine may add before a target records an arrival.
    """

    retries: int = 3
    deregistration_seconds: float = 2.0
    propagation_seconds: float = 6.0
    cancellation_seconds: float = 0.5
    lifetime_seconds: float = 1.0
    lifetime_slack_seconds: float = 0.3
