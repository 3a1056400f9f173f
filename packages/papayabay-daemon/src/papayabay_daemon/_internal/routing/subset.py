"""Chooses the upstreams of a service that one daemon keeps links to."""

from itertools import islice

import xxhash


def rendezvous_weight(daemon, upstream):
    """Return the rendezvous hash of a pair, the same on all daemons."""
    return xxhash.xxh3_64_intdigest(f"{daemon}\0{upstream}".encode())


def choose_subset(local, upstreams, size, prefer_own_domain):
    """Return this daemon's subset of a service's upstreams, and a reserve.

    Rendezvous hashing spreads the daemons evenly over the upstreams, and a
    member that joins or leaves changes few subsets, each by one entry. If the
    own domain is preferred, half of the subset is in the local failure domain.
    The other half is not, so that the loss of a domain never takes a daemon's
    whole subset with it.

    Parameters
    ----------
    local : Member
    upstreams : list of Member
    size : int
    prefer_own_domain : bool

    Returns
    -------
    tuple of (list of Member, list of Member)
        The subset, and the next `size` members, which are used when no member
        of the subset is available for an attempt.
    """
    ranked = sorted(
        upstreams,
        key=lambda member: rendezvous_weight(local.name, member.name),
        reverse=True,
    )
    if len(ranked) <= size:
        return ranked, []
    subset = mix_domains(local, ranked, size) if prefer_own_domain else ranked[:size]
    names = {member.name for member in subset}
    others = (member for member in ranked if member.name not in names)
    return subset, list(islice(others, size))


def mix_domains(local, ranked, size):
    """Return `size` members, half of them in the own domain if possible."""
    domain = local.failure_domain
    own = [member for member in ranked if member.failure_domain == domain]
    others = [member for member in ranked if member.failure_domain != domain]
    own_count = max((size + 1) // 2, size - len(others))
    chosen = own[:own_count]
    return chosen + others[: size - len(chosen)]
