"""Draws the order in which the owners of a limit's slots are asked."""

from functools import lru_cache
from itertools import permutations

from papayabay_daemon._internal.accounts.slots import (
    CACHED_ACCOUNTS,
    MAX_SLOTS,
    slot_positions,
)


class CandidateOwners:
    """The owners of the slots of each account's limit.

    They are looked up again only after a change of the ring or of the account,
    as the look-up takes a third of a token request's time at its sender.

    Parameters
    ----------
    local : Member
    ring : OwnerRing
    random : random.Random
    """

    def __init__(self, local, ring, random):
        self.local = local
        self.ring = ring
        self.random = random
        self.version = None
        self.found = {}

    def draw(self, account):
        """Return pairs of slot and owner, those of the own domain first.

        The owners within the domain are in random order, and so are those
        beyond it. Slots that are reserved for a dead member are left out.

        Parameters
        ----------
        account : Account
            With a limit.
        """
        if self.version != self.ring.version:
            self.version = self.ring.version
            self.found.clear()
        known, pairs, orders = self.found.get(account.name) or (None, None, None)
        if known is not account:
            pairs, orders = self.find(account)
        order = orders[int(self.random.random() * len(orders))]
        return [pairs[index] for index in order]

    def find(self, account):
        """Look up an account's owners; return them and their orders."""
        entries = map(self.ring.owner_at, slot_positions(account))
        pairs = [
            (slot, entry.member)
            for slot, entry in enumerate(entries)
            if entry is not None and not entry.is_reserved
        ]
        domain = self.local.failure_domain
        pairs.sort(key=lambda pair: pair[1].failure_domain != domain)
        near = sum(member.failure_domain == domain for _, member in pairs)
        orders = orders_of(near, len(pairs))
        if len(self.found) >= CACHED_ACCOUNTS:
            self.found.clear()
        self.found[account.name] = account, pairs, orders
        return pairs, orders


@lru_cache(maxsize=(MAX_SLOTS + 1) ** 2)
def orders_of(near, count):
    """Return all orders of the indices in which the near ones come first."""
    return [
        first + second
        for first in permutations(range(near))
        for second in permutations(range(near, count))
    ]
