"""What operators are shown of client accounts; never a key."""

from dataclasses import asdict


class AccountReport:
    """Puts the counts of authentication and of limits together.

    Parameters
    ----------
    authenticator : Authenticator
    limits : RateLimits
    """

    def __init__(self, authenticator, limits):
        self.authenticator = authenticator
        self.limits = limits

    def values(self):
        """Return requests that entered here, by account and by reason."""
        return {
            "accounts": {name: asdict(use) for name, use in self.limits.uses.items()},
            "keys": dict(self.authenticator.counters),
        }
