"""Finds the client account of a request by its key."""

import re

from papayabay_core.account_keys import digest_key
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.doors.headers import AUTHORIZATION_HEADER, without

BEARER = re.compile(r"bearer +([\x21-\x7e]{1,512}) *", re.IGNORECASE)
REASONS = ("missing", "malformed", "unknown")


class Authenticator:
    """Authenticates requests that enter here, where policy names accounts.

    Parameters
    ----------
    policy_source : callable
        Returns the `Policy` in force.

    Attributes
    ----------
    counters : dict of str to int
        Requests accepted, and refused by reason.
    """

    def __init__(self, policy_source):
        self.policy_source = policy_source
        self.counters = dict.fromkeys(("accepted", *REASONS), 0)

    @property
    def is_on(self):
        """Whether requests need keys."""
        return bool(self.policy_source().accounts)

    def authenticate(self, incoming, rule):
        """Return the account of a request; its key is taken out of it.

        Parameters
        ----------
        incoming : Incoming
        rule : CallRule

        Returns
        -------
        Account or None
            None without accounts, or for an anonymous request that is public.

        Raises
        ------
        CallError
            UNAUTHENTICATED; the answer never says why, the counters do.
        """
        if not self.is_on:
            return None
        authorization = incoming.authorization
        if authorization is None:
            return None if rule.public else self.refuse("missing")
        incoming.headers = without(incoming.headers, AUTHORIZATION_HEADER)
        account, reason = self.look_up(authorization)
        if account is None:
            return None if rule.public else self.refuse(reason)
        self.counters["accepted"] += 1
        return account

    def look_up(self, authorization):
        """Return the account of a field's key, and why there is none."""
        found = BEARER.fullmatch(authorization)
        if found is None:
            return None, "malformed"
        # Looked up by its digest, a key's own characters decide nothing that
        # could be timed.
        return self.policy_source().accounts.find(digest_key(found[1])), "unknown"

    def refuse(self, reason):
        """Count a refusal; raises `CallError`."""
        self.counters[reason] += 1
        raise CallError(ErrorKind.UNAUTHENTICATED)
