"""Debits retries that targets and callers make by themselves."""

from collections import OrderedDict
from dataclasses import dataclass

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.retries.credits import CreditAccount

MAX_CALLS = 1_024
"""Outgoing calls that are remembered per parent call."""
MAX_KEYS = 20_000
KEY_TTL_SECONDS = 600.0


def debit(account, detail):
    """Spend one credit of an account.

    Raises
    ------
    CallError
        RETRIES_SPENT if its balance is 0.
    """
    if not account.spend():
        raise CallError(ErrorKind.RETRIES_SPENT, detail)


class RetryDetector:
    """Detects a target's own retries among the outgoing calls of one call.

    There is one detector per parent call. It remembers the latest `MAX_CALLS`
    distinct outgoing calls.

    Parameters
    ----------
    account : CreditAccount
        Of the parent call.

    Attributes
    ----------
    seen : OrderedDict or None
        Hashes of the outgoing calls; None until the first, as the targets of
        many services make none.
    """

    __slots__ = ("account", "seen")

    def __init__(self, account):
        self.account = account
        self.seen = None

    def record(self, service, method, path, body_digest):
        """Record an outgoing call, and debit it if it is a retry.

        Parameters
        ----------
        service, method, path : str
        body_digest : int or bytes
            Of the whole body.

        Raises
        ------
        CallError
            RETRIES_SPENT for a retry if the balance is 0.
        """
        fingerprint = hash((service, method, path, body_digest))
        seen = self.seen
        if seen is None:
            seen = self.seen = OrderedDict()
        if fingerprint in seen:
            seen.move_to_end(fingerprint)
            debit(self.account, "the target repeated an outgoing call")
            return
        seen[fingerprint] = None
        if len(seen) > MAX_CALLS:
            seen.popitem(last=False)


@dataclass(slots=True)
class KeyAccount:
    """The account of a request key, and when it expires."""

    account: CreditAccount
    expires_at: float


class KeyAccounts:
    """Credit accounts by request key; a caller's retry mints no credits.

    Keys expire `KEY_TTL_SECONDS` after their first request; beyond `MAX_KEYS`,
    the oldest is evicted. Accounts are not closed when a request ends, because
    a retry by the caller continues with the remaining credits.
    """

    def __init__(self, clock=now):
        self.clock = clock
        self.keys = OrderedDict()
        self.repeats = 0
        self.refused = 0

    def account_for(self, service, key, minted):
        """Return the account of a request at its entry.

        Parameters
        ----------
        service : str
        key : str
            Request key; if empty, the request gets an account of its own.
        minted : int
            Credits of a first request.

        Raises
        ------
        CallError
            RETRIES_SPENT for a caller's retry if the balance is 0.
        """
        if not key:
            return CreditAccount(minted)
        self.expire()
        known = self.keys.get((service, key))
        if known is None:
            return self.mint((service, key), minted)
        self.repeats += 1
        try:
            debit(known.account, "the caller repeated the request")
        except CallError:
            self.refused += 1
            raise
        return known.account

    def mint(self, key, minted):
        """Open an account under a key and return it."""
        account = CreditAccount(minted)
        self.keys[key] = KeyAccount(account, self.clock() + KEY_TTL_SECONDS)
        if len(self.keys) > MAX_KEYS:
            self.keys.popitem(last=False)
        return account

    def expire(self):
        """Remove expired keys; the keys are in order of age."""
        at = self.clock()
        while self.keys and next(iter(self.keys.values())).expires_at <= at:
            self.keys.popitem(last=False)
