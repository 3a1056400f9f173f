"""The numbers that the rules compare with."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """What the system promises in numbers.

    Attributes
    ----------
    retries : int
        Per request, summed over all hops.
    hold_seconds : float
        After refusing a more important call, how long a daemon admits no
        sheddable one; policy's `overload_hold_ms`.
    leaving_seconds : float
        After leaving began, until no new work arrives.
    in_force_seconds : float
        After a patch was accepted, until it is in force everywhere.
    gone_seconds : float
        After a client left, until nothing more is begun for it.
    life_seconds : float
        Longest life of a request; policy's `deadline_ms`.
    life_slack_seconds : float
        What a busy machine may add before a target notes an arrival.
    """

    retries: int = 3
    hold_seconds: float = 0.4
    leaving_seconds: float = 2.0
    in_force_seconds: float = 6.0
    gone_seconds: float = 0.5
    life_seconds: float = 1.0
    life_slack_seconds: float = 0.3
