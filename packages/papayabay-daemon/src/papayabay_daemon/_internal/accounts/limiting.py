"""Holds requests that enter here to the rate limits of their accounts."""

import random
from dataclasses import dataclass, field
from typing import Protocol

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.policy.accounts import Account

RETURN_SHARE = 0.5
"""Part of the latency objective after which a caller is asked back at the
latest: an answer to its repeat may then still be in time."""


class Limiter(Protocol):
    """One way of holding all daemons together to a limit."""

    async def acquire(self, account: Account) -> None:
        """Take a token for one request.

        Raises
        ------
        CallError
            RATE_LIMITED or LIMIT_UNKNOWN.
        """

    def refund(self, account: Account) -> None:
        """Give back the token of a request that has not run."""


@dataclass(slots=True)
class AccountUse:
    """Requests of one account that entered here.

    Attributes
    ----------
    allowed, limited, unknown : int
        Let through, beyond the limit, and those whose limit could not be
        checked.
    """

    allowed: int = 0
    limited: int = 0
    unknown: int = 0


@dataclass(slots=True)
class RateLimits:
    """Takes tokens in the way that policy wants, and counts by account.

    Attributes
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    limiters : dict of str to Limiter
        By the value of ``decisions.account_limits``.
    uses : dict of str to AccountUse
        Of accounts in force that have made requests here.
    """

    policy_source: object
    limiters: dict[str, Limiter]
    random: random.Random
    uses: dict[str, AccountUse] = field(default_factory=dict)

    async def acquire(self, account, rule):
        """Take a token for a request of an account, if it has a limit.

        Parameters
        ----------
        account : Account
        rule : CallRule

        Raises
        ------
        CallError
            RATE_LIMITED or LIMIT_UNKNOWN.
        """
        use = self.use_of(account)
        if account.limit is not None:
            try:
                await self.limiter.acquire(account)
            except CallError as error:
                if error.kind is ErrorKind.RATE_LIMITED:
                    use.limited += 1
                    self.ask_back_in_time(error, rule)
                else:
                    use.unknown += 1
                raise
        use.allowed += 1

    @property
    def limiter(self):
        """The `Limiter` that policy wants."""
        return self.limiters[self.policy_source().decisions.account_limits]

    def refund(self, account):
        """Give back the token of a request that has not run."""
        if account.limit is not None:
            self.limiter.refund(account)

    def ask_back_in_time(self, error, rule):
        """Let a caller come back while its answer may still be in time."""
        if rule.objective is None or rule.objective.latency_ms is None:
            return
        latest = RETURN_SHARE * rule.objective.latency_ms
        if error.retry_after_ms > latest:
            error.retry_after_ms = int(latest * self.random.uniform(0.5, 1.0))

    def use_of(self, account):
        """Return what is counted of an account."""
        use = self.uses.get(account.name)
        if use is None:
            use = self.uses[account.name] = AccountUse()
        return use

    def policy_changed(self, policy):
        """Forget accounts that policy no longer names."""
        known = policy.accounts.by_name
        self.uses = {name: use for name, use in self.uses.items() if name in known}
