"""The faults that the stand-in shows while it runs."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from papayabay_bench.platform.rows import PAST_SECONDS

Probability = Annotated[float, Field(ge=0.0, le=1.0)]
KINDS = ("table", "object")


class Faults(BaseModel):
    """Faults of one kind of store; the defaults are none.

    Attributes
    ----------
    kind : str
        Which store: "table", "object" or "all".
    down : str
        "close" breaks connections without an answer, "unavailable" answers
        503, "silent" keeps connections open and never answers. Nothing is
        applied in any of these.
    slow_ms : int
        Added before each request is worked on.
    lost_answer : float
        Share of writes that are applied and then lose their connection.
    torn : float
        Share of object writes of which only the first half is stored.
    stale_ms : int
        Reads see the rows as they were that long ago.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Literal["table", "object", "all"] = "all"
    down: Literal["none", "close", "unavailable", "silent"] = "none"
    slow_ms: Annotated[int, Field(ge=0, le=60_000)] = 0
    lost_answer: Probability = 0.0
    torn: Probability = 0.0
    stale_ms: Annotated[int, Field(ge=0, le=int(PAST_SECONDS * 1_000))] = 0


@dataclass(slots=True)
class FaultSwitch:
    """The faults in force for each kind of store."""

    in_force: dict = field(
        default_factory=lambda: {kind: Faults(kind=kind) for kind in KINDS}
    )

    def set(self, faults):
        """Replace the faults of one kind, or of all."""
        kinds = KINDS if faults.kind == "all" else (faults.kind,)
        for kind in kinds:
            self.in_force[kind] = faults.model_copy(update={"kind": kind})

    def of(self, kind):
        """Return the faults of a kind of store."""
        return self.in_force[kind]
