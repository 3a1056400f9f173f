"""The slots that an account's limit is divided into."""

from dataclasses import dataclass
from functools import lru_cache

from papayabay_daemon._internal.accounts.owner_ring import hash_position

MAX_SLOTS = 4
"""Keepers that share one limit: without one of them, three quarters of it are
still granted."""
MIN_SLOT_DEPTH = 4
"""Tokens that a slot holds at least where there are several. Those of a
shallower one would be lost whenever its own requests pause."""
CACHED_ACCOUNTS = 4_096


@dataclass(frozen=True, slots=True)
class SlotLimit:
    """The part of a limit that one keeper grants.

    Attributes
    ----------
    rate_per_s : float
    depth : float
        Tokens that may be saved up, at least one.
    """

    rate_per_s: float
    depth: float


def slot_count(limit):
    """Return how many slots a limit has."""
    return max(1, min(MAX_SLOTS, limit.burst // MIN_SLOT_DEPTH))


def slot_limit(limit, share):
    """Return what one slot of a limit grants.

    Parameters
    ----------
    limit : RateLimit
    share : float
        Part of the fleet that this daemon knows to be there.
    """
    count = slot_count(limit)
    return SlotLimit(
        limit.rate_per_s * share / count, max(1.0, limit.burst * share / count)
    )


def slot_positions(account):
    """Return where on the ring the slots of an account's limit lie.

    Parameters
    ----------
    account : Account
        With a limit.
    """
    return positions_of(account.name, slot_count(account.limit))


@lru_cache(maxsize=CACHED_ACCOUNTS)
def positions_of(name, count):
    """Return the positions of so many slots of an account."""
    return tuple(hash_position(f"{name}/{slot}") for slot in range(count))
