"""Settings of a soak."""

from dataclasses import dataclass

SERVICES = ("front", "middle", "back")
"""Each calls the next one."""


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """What a soak runs and for how long.

    Attributes
    ----------
    seed : int
        Of the schedule of faults, the upstreams and the clients.
    seconds : float
        How long clients send requests.
    faults : tuple of str
        Kinds of fault to draw from.
    vms : int
        Daemons for each service.
    rate : float
        Requests of clients per second.
    packages : str
        Folder from which the daemons import papayabay; empty for the one of
        this process.
    keep : str
        Folder for the records and logs of runs with a violation.
    """

    seed: int
    seconds: float = 30.0
    faults: tuple = ()
    vms: int = 3
    rate: float = 100.0
    packages: str = ""
    keep: str = ""
