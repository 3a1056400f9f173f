"""Configuration of admission control."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from papayabay_core.policy.document import Admission, Decisions
from papayabay_core.utils.clock import now


@dataclass(slots=True)
class AdmissionInputs:
    """Policy, announcement, clock and random source for one target.

    Attributes
    ----------
    settings : papayabay_core.policy.document.Admission
    decisions : papayabay_core.policy.document.Decisions
    slots : int
        Concurrent calls that the target announced.
    cold_start_ms : int
        Time over which a newly announced target's limit is ramped up.
    announced_at : float
        Time of its announcement, on `clock`.
    awaits_report : bool
        Whether the target may have stated a rate limit in answers that this
        daemon did not see, as it was running before.
    corrects_slowdown : bool
        Whether times are corrected by the slowdown that the target reports.
    random : random.Random
    clock : callable
        Returns the time in seconds, as `papayabay_core.utils.clock.now`.
    """

    settings: Admission = field(default_factory=Admission)
    decisions: Decisions = field(default_factory=Decisions)
    slots: int = 1
    cold_start_ms: int = 0
    announced_at: float = 0.0
    awaits_report: bool = False
    corrects_slowdown: bool = False
    random: Random = field(default_factory=Random)
    clock: Callable[[], float] = now
