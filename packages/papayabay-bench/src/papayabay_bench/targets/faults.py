"""Faults of a stand-in target that are switched while it runs."""

from typing import Annotated

from pydantic import Field

from papayabay_bench.targets.specification import Strict


class Faults(Strict):
    """The state of every switch; the default is a healthy target.

    Attributes
    ----------
    slow : float
        Factor on service times.
    shed_above : int or None
        Calls inside above which a new one gets the shed status, not run.
    reported_load : float or None
        What the load endpoint says in place of the truth.
    rate_limit : float or None
        Calls a second that it names as its limit in all answers; it takes
        more all the same.
    dead : bool
        Listener closed and connections dropped.
    frozen : bool
        Calls taken, none worked on.
    draining : bool
        Announcement withdrawn; calls already inside are finished.
    """

    slow: Annotated[float, Field(gt=0.0, le=10_000.0)] = 1.0
    shed_above: Annotated[int, Field(ge=0)] | None = None
    reported_load: Annotated[float, Field(ge=0.0)] | None = None
    rate_limit: Annotated[float, Field(ge=0.0)] | None = None
    dead: bool = False
    frozen: bool = False
    draining: bool = False


def changed(faults, values):
    """Return the faults with some switches changed.

    Raises
    ------
    pydantic.ValidationError
        When a switch is unknown or its value impossible.
    """
    return Faults.model_validate(faults.model_dump() | values)
