"""Ranks: the order in which requests of one class are refused."""

from dataclasses import dataclass

import xxhash

from papayabay_core.importance import RANK_BITS, RANKS, Importance

HASH_BITS = 64
CRITICAL = Importance.CRITICAL
CLASSES = len(Importance)
"""Read for each request; an `Enum` looks its members up in Python."""


def rank_of(key_or_request_id):
    """Return the rank of a request, the same at every daemon.

    It is a hash of the caller's idempotency key, if there is one, so that
    retries of a request get the rank of its first attempt.
    """
    digest = xxhash.xxh3_64_intdigest(key_or_request_id.encode())
    return digest >> (HASH_BITS - RANK_BITS)


@dataclass(slots=True)
class Priority:
    """Place of a request in the order of all queues.

    Attributes
    ----------
    importance : Importance
        Class of the request, of its account where that sets one.
    path_class : Importance
        Class of the call path.
    rank : int
    """

    importance: Importance
    path_class: Importance
    rank: int

    def promoted(self, rank):
        """Return the priority as a critical request with a rank.

        If critical requests alone overload a service, all other requests are
        refused for as long as the overload lasts. Some requests of a path that
        is served too seldom are therefore treated as critical, with all their
        calls.
        """
        if self.importance is CRITICAL and self.path_class is CRITICAL:
            rank = min(rank, self.rank)
        return Priority(CRITICAL, CRITICAL, rank)


def rank_in_account_class(importance, rank):
    """Return the rank of a request whose account has an importance class.

    The account's class takes precedence over that of the call path. Among
    requests of the same account class, those of more important paths get
    lower ranks.

    Parameters
    ----------
    importance : Importance
        Class of the call path.
    rank : int
    """
    return (importance * RANKS + rank) // CLASSES


def scaled_rank(rank, factor):
    """Return a rank multiplied by a factor, at most the last rank.

    Requests with smaller factors get better ranks, and are refused later.

    Parameters
    ----------
    rank : int
    factor : float
        At least 0; 1 changes nothing.
    """
    if factor == 1.0:
        return rank
    scaled = int(rank * factor)
    return scaled if scaled < RANKS else RANKS - 1


def per_hop_rank(random):
    """Return a random rank; the baseline where hops refuse independently."""
    return int(random.random() * RANKS)
