"""The report on client accounts for operators; holds no keys."""

from dataclasses import asdict


class AccountReport:
    """Combines the counts of authentication and of rate limits.

    Parameters
    ----------
    authenticator : Authenticator
    limits : RateLimits
    """

    def __init__(self, authenticator, limits):
        self.authenticator = authenticator
        self.limits = limits

    def values(self):
        """Return request counts by account and by result of authentication."""
        return {
            "accounts": {name: asdict(use) for name, use in self.limits.uses.items()},
            "keys": dict(self.authenticator.counters),
        }
