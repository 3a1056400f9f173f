"""Draws the faults of a soak from its seed."""

import random
from dataclasses import dataclass

LEAD_SECONDS = 2.0
"""Time at the start without a fault."""
FAULTS_PER_SECOND = 0.8
DAEMON_FAULTS = ("pause", "kill", "terminate", "reload")
LINK_FAULTS = (
    "link-hold",
    "link-hold-one-way",
    "link-reset",
    "link-slow",
    "link-squeeze",
)
UPSTREAM_FAULTS = (
    "refuse",
    "refuse-repeat",
    "refuse-halve",
    "refuse-early",
    "trail",
    "anonymize",
    "lose",
    "unproven",
    "slow",
    "reborn",
    "reset-upstream",
)
STORE_FAULTS = ("store-silent", "configuration")
ALL_FAULTS = ("kill-all", "terminate-all")
KINDS = DAEMON_FAULTS + LINK_FAULTS + UPSTREAM_FAULTS + STORE_FAULTS + ALL_FAULTS
RARE = frozenset(ALL_FAULTS)
RARE_WEIGHT = 0.2


class UnknownFault(ValueError):
    """A kind of fault that `KINDS` does not have."""


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a schedule.

    Attributes
    ----------
    vm, peer : int
        Numbers of the VMs that it meets; `peer` for links only.
    at : float
        Seconds from the start of the run.
    seconds : float
        How long it lasts.
    strength : float
        From 0 to 1; each kind has its own meaning for it.
    """

    kind: str
    vm: int
    peer: int
    at: float
    seconds: float
    strength: float


def validate_kinds(kinds):
    """Return kinds of fault as a tuple; all kinds if none is given.

    Raises
    ------
    UnknownFault
        Lists the known ones.
    """
    unknown = sorted(set(kinds) - set(KINDS))
    if unknown:
        raise UnknownFault(f"unknown fault {unknown[0]}; known: {', '.join(KINDS)}")
    return tuple(kinds) or KINDS


def draw_schedule(settings, vms):
    """Return the faults of a soak, in the order of their times.

    Parameters
    ----------
    settings : SoakSettings
    vms : int
        Number of VMs of all services.
    """
    chance = random.Random(settings.seed)
    kinds = validate_kinds(settings.faults)
    weights = [RARE_WEIGHT if kind in RARE else 1.0 for kind in kinds]
    count = int((settings.seconds - LEAD_SECONDS) * FAULTS_PER_SECOND)
    planned = [
        PlannedFault(
            kind,
            *chance.sample(range(vms), 2),
            chance.uniform(LEAD_SECONDS, settings.seconds),
            chance.uniform(0.2, 6.0),
            chance.random(),
        )
        for kind in chance.choices(kinds, weights, k=count)
    ]
    return sorted(planned, key=lambda fault: fault.at)
