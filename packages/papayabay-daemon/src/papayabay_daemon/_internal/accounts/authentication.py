"""Finds the client account of a request by its key."""

import re
from dataclasses import dataclass
from typing import Protocol

from papayabay_core.account_keys import digest_key
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.policy.accounts import Account
from papayabay_daemon._internal.doors.headers import AUTHORIZATION_HEADER, without_field

BEARER = re.compile(r"bearer +([\x21-\x7e]{1,512}) *", re.IGNORECASE)
COUNTED = ("accepted", "missing", "malformed", "unknown", "revoked", "stale")
STALE_RETRY_MS = 500
"""Retry-After of a request refused for outdated accounts."""


class Freshness(Protocol):
    """How far the accounts known here may be relied on."""

    def is_fresh(self) -> bool:
        """Return whether they were the newest lately enough."""

    def is_behind(self) -> bool:
        """Return whether a newer configuration is known to exist."""

    async def ensure_fresh(self) -> bool:
        """Return whether they are fresh, after a short wait if that helps."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Whom a request belongs to.

    Attributes
    ----------
    account : Account
    key_digest : str
        Digest of the key that authenticated it; empty where none is needed.
    """

    account: Account
    key_digest: str


class Authenticator:
    """Authenticates requests that enter here, where policy names accounts.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    freshness : Freshness
    random : random.Random

    Attributes
    ----------
    counters : dict of str to int
        Requests accepted, and refused by reason.
    """

    def __init__(self, policy_source, freshness, random):
        self.policy_source = policy_source
        self.freshness = freshness
        self.random = random
        self.counters = dict.fromkeys(COUNTED, 0)

    @property
    def is_on(self):
        """Whether requests need keys."""
        return bool(self.policy_source().accounts)

    async def authenticate(self, incoming, rule):
        """Return the account of a request; its key is taken out of it.

        Parameters
        ----------
        incoming : IncomingRequest
        rule : CallRule

        Returns
        -------
        Identity or None
            None without accounts, or for an anonymous request that is public.

        Raises
        ------
        CallError
            UNAUTHENTICATED; the answer never says why, the counters do.
            ACCOUNTS_STALE, also for an unknown key that may be a new one.
        """
        if not self.is_on:
            return None
        authorization = incoming.authorization
        if authorization is None:
            return None if rule.public else self.refuse("missing")
        incoming.headers = without_field(incoming.headers, AUTHORIZATION_HEADER)
        found = BEARER.fullmatch(authorization)
        if found is None:
            return None if rule.public else self.refuse("malformed")
        # Looked up by its digest, a key's own characters decide nothing that
        # could be timed.
        digest = digest_key(found[1])
        if not rule.public and not await self.freshness.ensure_fresh():
            self.refuse_stale()
        account = self.policy_source().accounts.find(digest)
        if account is None:
            return None if rule.public else self.refuse_unknown()
        self.counters["accepted"] += 1
        return Identity(account, "" if rule.public else digest)

    def check(self, call):
        """Admit a call whose key is still valid.

        Asked before each attempt: between two of them the key may have been
        revoked, or this process been stopped.

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
        """Refuse a key; for good unless a newer version may declare it."""
        if self.freshness.is_behind():
            self.refuse_stale()
        self.refuse("unknown")

    def refuse(self, reason):
        """Count a refusal for good; raises `CallError`."""
        self.counters[reason] += 1
        raise CallError(ErrorKind.UNAUTHENTICATED)

    def refuse_stale(self):
        """Count a refusal for a while; raises `CallError`."""
        self.counters["stale"] += 1
        retry_ms = int(STALE_RETRY_MS * self.random.uniform(0.5, 1.5))
        raise CallError(ErrorKind.ACCOUNTS_STALE, retry_after_ms=retry_ms)
