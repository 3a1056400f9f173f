"""What load to offer: calls, rates over time, and clients' patience."""

from typing import Annotated, Literal

from pydantic import Field

from papayabay_bench.targets.specification import Strict

Weight = Annotated[float, Field(gt=0.0)]


class CallMix(Strict):
    """One kind of call and its share of the load.

    Attributes
    ----------
    importance : str
        Class that policy should give it; only for the measures.
    path : str
        ``{n}`` in it stands for the request's number.
    key : str
        The Idempotency-Key of each request: "none", one of the caller's
        "own", or one "minted" by the first attempt's entry.
    """

    name: str
    importance: Literal["critical", "normal", "sheddable"]
    service: str
    path: Annotated[str, Field(pattern=r"^/")]
    method: str = "GET"
    weight: Weight = 1.0
    key: Literal["none", "own", "minted"] = "none"
    body_bytes: Annotated[int, Field(ge=0, le=16 * 1024 * 1024)] = 0


class Phase(Strict):
    """A stretch of time with one rate.

    Attributes
    ----------
    rate : float
        Requests per second that come for the first time.
    """

    seconds: Annotated[float, Field(gt=0.0)]
    rate: Annotated[float, Field(ge=0.0)]


class Patience(Strict):
    """How clients wait and retry.

    Attributes
    ----------
    attempt_timeout_ms : int
        After it an attempt is given up and its connection closed.
    retries : int
        Further attempts after the first.
    pause_ms : int
        Between attempts, where no Retry-After is honoured.
    honour_retry_after : bool
        Whether to wait as long as a refusal says.
    """

    attempt_timeout_ms: Annotated[int, Field(ge=1)] = 1_000
    retries: Annotated[int, Field(ge=0, le=100)] = 3
    pause_ms: Annotated[int, Field(ge=0)] = 0
    honour_retry_after: bool = False


class LoadSpec(Strict):
    """All of a load run.

    Attributes
    ----------
    entries : list of str
        Caller doors; each attempt takes one at random.
    starts_at : float
        On `clock.now()`; 0 starts at once. Generators that share a load
        are given the same.
    part, parts : int
        Which share of the load this generator offers, counted from 0.
    most_in_flight : int
        Requests at once beyond which an arrival is recorded as unsent, so
        that the generator's memory stays bounded.
    """

    entries: Annotated[list[str], Field(min_length=1)]
    calls: Annotated[list[CallMix], Field(min_length=1)]
    phases: Annotated[list[Phase], Field(min_length=1)]
    patience: Patience = Patience()
    arrivals: Literal["poisson", "paced"] = "poisson"
    seed: int = 0
    starts_at: float = 0.0
    part: Annotated[int, Field(ge=0)] = 0
    parts: Annotated[int, Field(ge=1)] = 1
    most_in_flight: Annotated[int, Field(ge=1, le=100_000)] = 10_000
    output_path: str = ""

    @property
    def seconds(self):
        """Length of the whole run."""
        return sum(phase.seconds for phase in self.phases)
