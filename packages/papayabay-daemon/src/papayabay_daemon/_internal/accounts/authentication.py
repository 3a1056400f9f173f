"""Authenticates requests by the keys of client accounts."""

import re
from dataclasses import dataclass
from typing import Protocol

from papayabay_core.account_keys import digest_key
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.policy.accounts import Account
from papayabay_daemon._internal.doors.headers import AUTHORIZATION_HEADER, without_field

BEARER_PATTERN = re.compile(r"bearer +([\x21-\x7e]{1,512}) *", re.IGNORECASE)
COUNTERS = ("accepted", "missing", "malformed", "unknown", "revoked", "stale")
STALE_RETRY_MS = 500
"""Retry-After, before jitter, of a request refused because the accounts known
here may be outdated."""


class Freshness(Protocol):
    """How current the configuration of this daemon, with its accounts, is."""

    def is_fresh(self) -> bool:
        """Return whether it was confirmed as the newest recently enough."""

    def is_behind(self) -> bool:
        """Return whether a newer configuration is known to exist."""

    async def ensure_fresh(self) -> bool:
        """Return whether it is fresh; may wait a short time for that."""


# Not frozen: one is made for each request, and in a frozen class that takes
# twice as long.
@dataclass(slots=True)
class Identity:
    """The account that a request was authenticated for.

    Attributes
    ----------
    account : Account
    key_digest : str
        Digest of the key; empty for paths that need none.
    """

    account: Account
    key_digest: str


class Authenticator:
    """Authenticates requests that enter here, if the policy has accounts.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    freshness : Freshness
    random : random.Random

    Attributes
    ----------
    counters : dict of str to int
        Requests accepted, and requests refused by reason.
    """

    def __init__(self, policy_source, freshness, random):
        self.policy_source = policy_source
        self.freshness = freshness
        self.random = random
        self.counters = dict.fromkeys(COUNTERS, 0)

    @property
    def is_on(self):
        """Whether the policy has accounts, so that requests need keys."""
        return bool(self.policy_source().accounts)

    async def authenticate(self, incoming, rule):
        """Return the identity of a request, and remove its key.

        Parameters
        ----------
        incoming : IncomingRequest
        rule : CallRule

        Returns
        -------
        Identity or None
            None if the policy has no accounts, and for a request to a public
            path without a valid key.

        Raises
        ------
        CallError
            UNAUTHENTICATED; the reason is counted but not part of the answer.
            ACCOUNTS_STALE, also for an unknown key that may be a new one.
        """
        if not self.policy_source().accounts.by_name:
            return None
        authorization = incoming.authorization
        if authorization is None:
            return None if rule.public else self.refuse("missing")
        incoming.headers = without_field(incoming.headers, AUTHORIZATION_HEADER)
        match = BEARER_PATTERN.fullmatch(authorization)
        if match is None:
            return None if rule.public else self.refuse("malformed")
        # Keys are looked up by digest, so that the timing of the comparison
        # tells nothing about the characters of a key.
        digest = digest_key(match[1])
        if not rule.public and not await self.freshness.ensure_fresh():
            self.refuse_stale()
        account = self.policy_source().accounts.find(digest)
        if account is None:
            return None if rule.public else self.refuse_unknown()
        self.counters["accepted"] += 1
        return Identity(account, "" if rule.public else digest)

    def check(self, call):
        """Check before each attempt that the call's key is still valid.

        Between two attempts the key may have been revoked, or this process
        may have been suspended.

        Raises
        ------
        CallError
            UNAUTHENTICATED or ACCOUNTS_STALE.
        """
        if not call.key_digest:
            return
        if not self.freshness.is_fresh():
            self.refuse_stale()
        if self.policy_source().accounts.find(call.key_digest) is None:
            self.refuse("revoked")

    def refuse_unknown(self):
        """Refuse an unknown key.

        The refusal is temporary while a newer configuration, which may
        declare the key, is known to exist.
        """
        if self.freshness.is_behind():
            self.refuse_stale()
        self.refuse("unknown")

    def refuse(self, reason):
        """Count and raise a permanent refusal (UNAUTHENTICATED)."""
        self.counters[reason] += 1
        raise CallError(ErrorKind.UNAUTHENTICATED)

    def refuse_stale(self):
        """Count and raise a temporary refusal (ACCOUNTS_STALE)."""
        self.counters["stale"] += 1
        retry_ms = int(STALE_RETRY_MS * self.random.uniform(0.5, 1.5))
        raise CallError(ErrorKind.ACCOUNTS_STALE, retry_after_ms=retry_ms)
