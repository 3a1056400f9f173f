"""Results of committing a patch."""

from dataclasses import dataclass, field
from enum import Enum

from papayabay_core.configuration.patch import Patch


class CommitOutcome(Enum):
    """What is known about a patch after its commit."""

    ACCEPTED = "accepted"
    STALE = "stale"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The result of a commit.

    Attributes
    ----------
    outcome : CommitOutcome
        ACCEPTED: the patch is stored. STALE: it is not stored and never will
        be, since another patch has its version. UNKNOWN: it may be stored,
        now or later; settle it, or commit the same patch again, which is
        safe.
    patch_id : str
    version : int
        The new version; if stale, the current version; if unknown, 0.
    changes : list of Patch
        If stale, the patches committed since the base, oldest first, at most
        `log.MAX_CHANGES`; empty if they could not be read.
    """

    outcome: CommitOutcome
    patch_id: str
    version: int = 0
    changes: list[Patch] = field(default_factory=list)
