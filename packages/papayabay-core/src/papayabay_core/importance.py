"""Importance classes, ranks, and the admission level that combines them."""

from enum import IntEnum

RANK_BITS = 16
RANKS = 1 << RANK_BITS


class Importance(IntEnum):
    """Importance class of a request; overload sheds higher values first.

    ``CRITICAL`` is for order confirmations and licence grants, ``NORMAL``
    for lookups and clearance checks, ``SHEDDABLE`` for browsing and
    document downloads.
    """

    CRITICAL = 0
    NORMAL = 1
    SHEDDABLE = 2


ADMIT_ALL = (len(Importance) << RANK_BITS) - 1
ADMIT_NONE = -1


def level_of(importance, rank):
    """Return the admission level of a request; lower levels are shed later.

    A level orders first by importance class, then by the request's rank,
    which is the same at every hop of its call tree. A threshold is a level
    too: a request is admitted when its level is not above the threshold.
    """
    return (importance << RANK_BITS) | rank
