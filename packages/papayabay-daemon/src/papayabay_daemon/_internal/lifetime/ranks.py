"""Ranks: the order of refusal among requests of one class."""

import xxhash

from papayabay_core.importance import RANK_BITS, RANKS, Importance

HASH_BITS = 64


def rank_of(key_or_request_id):
    """Return the rank of a request, the same wherever it is worked out.

    Drawn from the caller's key where there is one, so that repeats of one
    request stand where its first attempt stood.
    """
    digest = xxhash.xxh3_64_intdigest(key_or_request_id.encode())
    return digest >> (HASH_BITS - RANK_BITS)


def effective_priority(importance, rank, kept_share):
    """Return class and rank by which a request stands in all lines.

    In an overload that only critical requests can fill, all others would be
    refused, hour after hour, whoever they are from. So the best ranks of
    every class stand with the critical ones, spread over all their ranks;
    as the rank is the same at every hop, they are let in whole.

    Parameters
    ----------
    importance : Importance
        By policy.
    rank : int
    kept_share : float
        Part of the requests that is kept in this way.
    """
    kept_ranks = kept_share * RANKS
    if importance is Importance.CRITICAL or rank >= kept_ranks:
        return importance, rank
    return Importance.CRITICAL, int(rank / kept_share)


def rank_in_account_class(importance, rank):
    """Return the rank of a request whose account has a class of its own.

    That class goes first; among requests of equal account classes, the ranks
    of more important paths are lower than those of all others.

    Parameters
    ----------
    importance : Importance
        Of the path.
    rank : int
    """
    return (importance * RANKS + rank) // len(Importance)


def per_hop_rank(random):
    """Return a fresh rank; the baseline in which hops refuse alone."""
    return int(random.random() * RANKS)
