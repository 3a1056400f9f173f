"""Sums the daemons' reports on client accounts."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class AccountSums:
    """Request counts, summed over the daemons that answered.

    Attributes
    ----------
    accounts : dict of str to Counter
        By account, then by the outcome of the rate limit check.
    keys : Counter
        By the outcome of authentication.
    """

    accounts: dict[str, Counter] = field(default_factory=dict)
    keys: Counter = field(default_factory=Counter)

    def add(self, report):
        """Add one daemon's report, or the sums of several reports."""
        for name, counts in report.get("accounts", {}).items():
            self.accounts.setdefault(name, Counter()).update(counts)
        self.keys.update(report.get("keys", {}))


def sum_accounts(fleet):
    """Return the `AccountSums` of a fleet.

    Parameters
    ----------
    fleet : dict
        Answer of ``/fleet/accounts``: each daemon's report under ``heard``,
        or the sums of a large fleet under ``sums``.
    """
    sums = AccountSums()
    for report in fleet.get("heard", {}).values():
        sums.add(report)
    sums.add(fleet.get("sums", {}))
    return sums
