"""What the reports of many daemons come to, added up part by part."""

from collections import Counter

OUTLIERS_MAX = 16
OUTCOMES = frozenset(("good", "failed", "refused", "slow"))
FAULTS = (AttributeError, KeyError, TypeError, ValueError)
"""What reading a report of another shape raises."""


class StatusSums:
    """Counts over status pages, and some pages that stand out.

    A daemon stands out when it has something that an operator has to act
    on, or a lower version than others of the same part. Whole pages of all
    of 13,000 daemons would be 200 MB.
    """

    def __init__(self):
        self.counts = {name: Counter() for name in ("versions", "domains", "services")}
        self.totals = Counter()
        self.outliers = {}

    def add_reports(self, reports):
        """Add pages by name; return the causes for the unreadable."""
        versions = {}
        faults = {}
        for name, page in reports.items():
            try:
                versions[name] = self.add_page(page)
            except FAULTS as error:
                faults[name] = unreadable(error)
        newest = max(versions.values(), default=0)
        for name, version in versions.items():
            if version < newest or needs_attention(reports[name]):
                self.add_outlier(name, reports[name])
        return faults

    def add_page(self, page):
        """Count one page and return its version."""
        configuration = page["configuration"]
        version = int(configuration["version"])
        admission = page.get("admission") or {}
        totals = {
            "daemons": 1,
            "unconfirmed": int(not configuration["confirmed"]),
            "not_in_force": int(bool(configuration.get("not_in_force"))),
            "store_unreachable": int(configuration.get("store_reachable") is False),
            "leaving": int(bool(page.get("leaving"))),
            "in_flight": int(admission.get("in_flight", 0)),
            "queued": int(admission.get("queued", 0)),
        }
        service = (page.get("target") or {}).get("service") or "-"
        domain = str(page["failure_domain"])
        self.totals.update(totals)
        self.counts["versions"][str(version)] += 1
        self.counts["domains"][domain] += 1
        self.counts["services"][str(service)] += 1
        return version

    def add_outlier(self, name, page):
        """Keep a page that stands out, or only count it."""
        self.totals["outliers"] += 1
        if len(self.outliers) < OUTLIERS_MAX:
            self.outliers[name] = page

    def merge(self, plain):
        """Add the sums of another part.

        Raises
        ------
        ValueError, TypeError, KeyError, AttributeError
            When they have another shape.
        """
        counts = {name: read_counts(plain[name]) for name in self.counts}
        totals = read_counts(plain["totals"])
        outliers = dict(plain["outliers"])
        for name, counter in counts.items():
            self.counts[name].update(counter)
        self.totals.update(totals)
        room = OUTLIERS_MAX - len(self.outliers)
        self.outliers.update(sorted(outliers.items())[:room])

    def plain(self):
        """Return plain values, from which `merge` goes on."""
        counts = {name: dict(counter) for name, counter in self.counts.items()}
        return {**counts, "totals": dict(self.totals), "outliers": self.outliers}


class BurnSums:
    """Good and bad requests by path and window, over daemons."""

    def __init__(self):
        self.versions = {}
        self.paths = {}
        self.left_out = 0

    def add_reports(self, reports):
        """Add accounts by name; return the causes for the unreadable."""
        faults = {}
        for name, account in reports.items():
            try:
                version = int(account["version"])
                left_out = int(account.get("left_out", 0))
                paths = read_paths(account["paths"])
            except FAULTS as error:
                faults[name] = unreadable(error)
                continue
            self.add(paths, left_out, {name: version})
        return faults

    def add(self, paths, left_out, versions):
        """Add counts that were read whole."""
        self.versions.update(versions)
        self.left_out += left_out
        for key, window, counts in paths:
            windows = self.paths.setdefault(key, {})
            windows.setdefault(window, Counter()).update(counts)

    def merge(self, plain):
        """Add the sums of another part; see `StatusSums.merge`."""
        versions = read_counts(plain["versions"])
        self.add(read_paths(plain["paths"]), int(plain["left_out"]), versions)

    def plain(self):
        """Return plain values, from which `merge` goes on."""
        return {
            "versions": self.versions,
            "paths": {
                key: {window: dict(counts) for window, counts in windows.items()}
                for key, windows in self.paths.items()
            },
            "left_out": self.left_out,
        }


def needs_attention(page):
    """Return whether an operator has something to do about a daemon."""
    configuration = page["configuration"]
    return bool(
        page.get("leaving")
        or configuration.get("not_in_force")
        or configuration.get("store_reachable") is False
        or not configuration["confirmed"]
    )


class AccountSums:
    """Requests of client accounts, over daemons."""

    def __init__(self):
        self.accounts = {}
        self.keys = Counter()

    def add_reports(self, reports):
        """Add reports by name; return the causes for the unreadable."""
        faults = {}
        for name, report in reports.items():
            try:
                self.merge(report)
            except FAULTS as error:
                faults[name] = unreadable(error)
        return faults

    def merge(self, plain):
        """Add a report, or sums of another part; see `StatusSums.merge`."""
        accounts = {
            name: read_counts(counts) for name, counts in plain["accounts"].items()
        }
        keys = read_counts(plain["keys"])
        for name, counts in accounts.items():
            self.accounts.setdefault(name, Counter()).update(counts)
        self.keys.update(keys)

    def plain(self):
        """Return plain values, from which `merge` goes on."""
        accounts = {name: dict(counts) for name, counts in self.accounts.items()}
        return {"accounts": accounts, "keys": dict(self.keys)}


SUMS = {"status": StatusSums, "burn": BurnSums, "accounts": AccountSums}


def read_counts(counts):
    """Return counts by name, each of them a whole number."""
    return {str(name): int(count) for name, count in counts.items()}


def read_paths(paths):
    """Return path, window and counts of an account's every window.

    All of it is read before any of it is added: half an account would make
    the sums wrong and nobody could tell.
    """
    return [
        (key, window, read_outcomes(counts))
        for key, windows in paths.items()
        for window, counts in windows.items()
    ]


def read_outcomes(counts):
    """Return counts by outcome; raises for an outcome unknown here."""
    if unknown := counts.keys() - OUTCOMES:
        raise ValueError(f"unknown outcome {min(unknown)!r:.40}")
    return read_counts(counts)


def unreadable(error):
    """Return the cause that stands for a report of another shape."""
    return f"its report can't be read: {type(error).__name__}: {error!s:.80}"
