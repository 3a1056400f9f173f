"""Divides the rate limit of an account into slots."""

from dataclasses import dataclass
from functools import lru_cache

from papayabay_daemon._internal.accounts.owner_ring import hash_position

MAX_SLOTS = 4
"""Most slots of a limit, each with an owner of its own. With four, the failure
of one owner leaves three quarters of the limit available."""
MIN_SLOT_DEPTH = 4
"""Smallest depth of a slot, in tokens, if a limit has several. In a smaller
one, tokens overflow and are lost whenever its own requests pause."""
CACHED_ACCOUNTS = 4_096


@dataclass(frozen=True, slots=True)
class SlotLimit:
    """The share of a limit that one owner grants.

    Attributes
    ----------
    rate_per_s : float
    depth : float
        Most tokens that may accumulate, at least one.
    """

    rate_per_s: float
    depth: float


def slot_count(limit):
    """Return the number of slots of a limit."""
    return max(1, min(MAX_SLOTS, limit.burst // MIN_SLOT_DEPTH))


def slot_limit(limit, share):
    """Return the `SlotLimit` of each slot of a limit.

    Parameters
    ----------
    limit : RateLimit
    share : float
        Share of all known members seen by this daemon; see `OwnerRing`.
    """
    count = slot_count(limit)
    return SlotLimit(
        limit.rate_per_s * share / count, max(1.0, limit.burst * share / count)
    )


def slot_positions(account):
    """Return the ring positions of the slots of an account's limit.

    Parameters
    ----------
    account : Account
        With a limit.
    """
    return positions_of(account.name, slot_count(account.limit))


@lru_cache(maxsize=CACHED_ACCOUNTS)
def positions_of(name, count):
    """Return the ring positions of an account's slots."""
    return tuple(hash_position(f"{name}/{slot}") for slot in range(count))
