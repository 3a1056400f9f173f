"""Sums the daemons' reports on client accounts."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class AccountSums:
    """Requests, summed over the daemons that answered.

    Attributes
    ----------
    accounts : dict of str to Counter
    keys : Counter
        By the outcome of authentication.
    """

    accounts: dict[str, Counter] = field(default_factory=dict)
    keys: Counter = field(default_factory=Counter)

    def add(self, report):
        """Add one report, or the sums of many."""
        for name, counts in report.get("accounts", {}).items():
            self.accounts.setdefault(name, Counter()).update(counts)
        self.keys.update(report.get("keys", {}))


def sum_accounts(fleet):
    """Return the `AccountSums` of a fleet's answer.

    Parameters
    ----------
    fleet : dict
        ``heard`` or ``sums``, as a status door answers.
    """
    sums = AccountSums()
    for report in fleet.get("heard", {}).values():
        sums.add(report)
    sums.add(fleet.get("sums", {}))
    return sums
