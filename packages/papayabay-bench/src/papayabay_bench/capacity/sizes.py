"""At which sizes to measure, and for how long."""

from dataclasses import dataclass, replace

LARGEST_CROWD = 30_000


@dataclass(frozen=True, slots=True)
class Sizes:
    """One run's sizes, each ascending.

    Attributes
    ----------
    members, links, services, daemons : tuple of int
    window, link_window, short_window : float
        Seconds of a quiet window; that of links holds the rarest heartbeat.
    """

    members: tuple = (0, 100, 1_000, 13_000)
    links: tuple = (10, 100, 300)
    services: tuple = (10, 100, 490)
    daemons: tuple = (20, 50, 100)
    window: float = 20.0
    link_window: float = 32.0
    short_window: float = 10.0


FULL = Sizes()
QUICK = Sizes(
    members=(0, 100, 1_000),
    links=(10, 50),
    services=(10, 100),
    daemons=(4, 8),
    window=5.0,
    link_window=5.0,
    short_window=3.0,
)


def with_members(sizes, members):
    """Return sizes with other numbers of members.

    Raises
    ------
    ValueError
        When they are not at least two numbers within bounds.
    """
    chosen = tuple(sorted({0, *members}))
    if len(chosen) < 2 or chosen[0] < 0 or chosen[-1] > LARGEST_CROWD:
        raise ValueError(f"sizes have to be numbers from 1 to {LARGEST_CROWD}")
    return replace(sizes, members=chosen)
