"""Debits for repeats that targets and callers make by themselves."""

from collections import OrderedDict
from dataclasses import dataclass

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.retries.credits import CreditAccount

MAX_CALLS = 1_024
MAX_KEYS = 20_000
KEY_LIFE_SECONDS = 600.0


def debit(account, detail):
    """Spend one credit of an account.

    Raises
    ------
    CallError
        RETRIES_SPENT when it holds none.
    """
    if not account.spend():
        raise CallError(ErrorKind.RETRIES_SPENT, detail)


class RetryDetector:
    """Finds a target's repeats among the outgoing calls of one live call.

    One object per parent call, dropped with it. Only the latest `MAX_CALLS`
    distinct calls are remembered.

    Parameters
    ----------
    account : CreditAccount
        The parent call's.
    """

    __slots__ = ("account", "seen")

    def __init__(self, account):
        self.account = account
        self.seen = OrderedDict()

    def record(self, service, method, path, body_digest):
        """Note an outgoing call; debit it when it is a repeat.

        Parameters
        ----------
        service, method, path : str
        body_digest : int or bytes
            Of the whole body.

        Raises
        ------
        CallError
            RETRIES_SPENT when a repeat finds no credit.
        """
        fingerprint = hash((service, method, path, body_digest))
        if fingerprint in self.seen:
            self.seen.move_to_end(fingerprint)
            debit(self.account, "the target repeated an outgoing call")
            return
        self.seen[fingerprint] = None
        if len(self.seen) > MAX_CALLS:
            self.seen.popitem(last=False)


@dataclass(slots=True)
class KeyAccount:
    """The account of a request key and when it is forgotten."""

    account: CreditAccount
    expires_at: float


class KeyAccounts:
    """Accounts by request key, so that a caller's repeat mints nothing.

    Keys are forgotten `KEY_LIFE_SECONDS` after their first request, or as
    the oldest beyond `MAX_KEYS`. The account isn't closed at the entry, as
    a repeat goes on with what is left.
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
            Request key; without one an account of its own is minted.
        minted : int
            Credits of a first request.

        Raises
        ------
        CallError
            RETRIES_SPENT when a repeat finds no credit.
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
        """Return a new account, remembered under its key."""
        account = CreditAccount(minted)
        self.keys[key] = KeyAccount(account, self.clock() + KEY_LIFE_SECONDS)
        if len(self.keys) > MAX_KEYS:
            self.keys.popitem(last=False)
        return account

    def expire(self):
        """Forget keys whose time is up; they stand in order of age."""
        at = self.clock()
        while self.keys and next(iter(self.keys.values())).expires_at <= at:
            self.keys.popitem(last=False)
