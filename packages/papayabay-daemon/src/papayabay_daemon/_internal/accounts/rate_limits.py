"""Enforces the rate limits of accounts on requests that enter here."""

from dataclasses import dataclass, field
from typing import Protocol

from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.policy.accounts import Account


class Limiter(Protocol):
    """A strategy for enforcing one limit across all daemons."""

    async def acquire(self, account: Account) -> None:
        """Take a token for one request.

        Raises
        ------
        CallError
            RATE_LIMITED or LIMIT_UNKNOWN.
        """

    def refund(self, account: Account) -> None:
        """Return the token of a request that was not run."""


@dataclass(slots=True)
class AccountUse:
    """Counts of the requests of one account that entered here.

    Attributes
    ----------
    allowed : int
        Requests admitted.
    limited : int
        Requests refused for being over the limit.
    unknown : int
        Requests refused because the limit could not be checked.
    """

    allowed: int = 0
    limited: int = 0
    unknown: int = 0


@dataclass(slots=True)
class RateLimits:
    """Takes tokens by the strategy in the policy, and counts by account.

    Attributes
    ----------
    policy_source : callable
        Returns the `Policy` in force.
    limiters : dict of str to Limiter
        By the value of ``decisions.account_limits``.
    uses : dict of str to AccountUse
        For accounts in the policy that have sent requests here.
    """

    policy_source: object
    limiters: dict[str, Limiter]
    uses: dict[str, AccountUse] = field(default_factory=dict)

    async def acquire(self, account):
        """Take a token for a request of an account, if it has a limit.

        Parameters
        ----------
        account : Account

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
                else:
                    use.unknown += 1
                raise
        use.allowed += 1

    @property
    def limiter(self):
        """The `Limiter` that the policy selects."""
        return self.limiters[self.policy_source().decisions.account_limits]

    def refund(self, account):
        """Return the token of a request that was not run."""
        if account.limit is not None:
            self.limiter.refund(account)

    def use_of(self, account):
        """Return the counts of an account; creates them if needed."""
        use = self.uses.get(account.name)
        if use is None:
            use = self.uses[account.name] = AccountUse()
        return use

    def policy_changed(self, policy):
        """Drop the counts of accounts that are no longer in the policy."""
        known = policy.accounts.by_name
        self.uses = {name: use for name, use in self.uses.items() if name in known}
