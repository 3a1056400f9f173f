"""Ranks: the order in which requests of one class are refused."""

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


def effective_priority(importance, rank, critical_share):
    """Return the class and rank that a request has in all queues.

    If critical requests alone overload a service, all other requests are
    refused for as long as the overload lasts. Of a path that is served too
    seldom, the requests with the best ranks are treated as critical, spread
    over all critical ranks. Their calls have the same class at every hop.

    Parameters
    ----------
    importance : Importance
        Class that the policy gives the request.
    rank : int
    critical_share : float
        Share of the requests to treat as critical; see `ServedShares`.
    """
    critical_ranks = critical_share * RANKS
    if importance is CRITICAL or rank >= critical_ranks:
        return importance, rank
    return CRITICAL, int(rank / critical_share)


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
    scaled = int(rank * factor)
    return scaled if scaled < RANKS else RANKS - 1


def per_hop_rank(random):
    """Return a random rank; the baseline where hops refuse independently."""
    return int(random.random() * RANKS)
