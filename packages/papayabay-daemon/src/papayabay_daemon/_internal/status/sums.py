"""Adds up the reports of many daemons.

Each class of sums adds single reports by `add_reports` and the sums of other
daemons, as JSON-compatible values from `plain`, by `merge`.
"""

from collections import Counter

OUTLIERS_MAX = 16
OUTCOMES = frozenset(("good", "failed", "refused", "slow"))
MALFORMED_ERRORS = (AttributeError, KeyError, TypeError, ValueError)
"""Raised by reading a report of another structure."""


class StatusSums:
    """Counts over status pages, and a few full pages of outliers.

    A daemon is an outlier if an operator has to act on its state, or if its
    configuration version is lower than another's whose page was added with
    it. Outliers are limited to `OUTLIERS_MAX`: the full pages of 13,000
    daemons would take 200 MB.
    """

    def __init__(self):
        self.counts = {name: Counter() for name in ("versions", "domains", "services")}
        self.totals = Counter()
        self.outliers = {}

    def add_reports(self, reports):
        """Add pages by the daemon's name.

        Returns
        -------
        dict of str to str
            Errors in the pages that could not be read, by name.
        """
        versions = {}
        errors = {}
        for name, page in reports.items():
            try:
                versions[name] = self.add_page(page)
            except MALFORMED_ERRORS as error:
                errors[name] = unreadable(error)
        newest = max(versions.values(), default=0)
        for name, version in versions.items():
            if version < newest or needs_attention(reports[name]):
                self.add_outlier(name, reports[name])
        return errors

    def add_page(self, page):
        """Count one page; return its configuration version."""
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
        """Count an outlier, and keep its page if there is room."""
        self.totals["outliers"] += 1
        if len(self.outliers) < OUTLIERS_MAX:
            self.outliers[name] = page

    def merge(self, plain):
        """Add the sums that another daemon gathered.

        Raises
        ------
        ValueError, TypeError, KeyError, AttributeError
            For values of another structure. Nothing is added then.
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
        """Return the sums as JSON-compatible values that `merge` accepts."""
        counts = {name: dict(counter) for name, counter in self.counts.items()}
        return {**counts, "totals": dict(self.totals), "outliers": self.outliers}


class BurnSums:
    """Request counts of burn reports, by call path, window and outcome."""

    def __init__(self):
        self.versions = {}
        self.paths = {}
        self.left_out = 0

    def add_reports(self, reports):
        """Add reports by the daemon's name; see `StatusSums.add_reports`."""
        errors = {}
        for name, report in reports.items():
            try:
                version = int(report["version"])
                left_out = int(report.get("left_out", 0))
                paths = read_paths(report["paths"])
            except MALFORMED_ERRORS as error:
                errors[name] = unreadable(error)
                continue
            self.add(paths, left_out, {name: version})
        return errors

    def add(self, paths, left_out, versions):
        """Add counts that have been read and checked in full."""
        self.versions.update(versions)
        self.left_out += left_out
        for key, window, counts in paths:
            windows = self.paths.setdefault(key, {})
            windows.setdefault(window, Counter()).update(counts)

    def merge(self, plain):
        """Add the sums of another daemon; see `StatusSums.merge`."""
        versions = read_counts(plain["versions"])
        self.add(read_paths(plain["paths"]), int(plain["left_out"]), versions)

    def plain(self):
        """Return the sums as JSON-compatible values that `merge` accepts."""
        return {
            "versions": self.versions,
            "paths": {
                key: {window: dict(counts) for window, counts in windows.items()}
                for key, windows in self.paths.items()
            },
            "left_out": self.left_out,
        }


def needs_attention(page):
    """Return whether an operator has to act on a daemon's state."""
    configuration = page["configuration"]
    return bool(
        page.get("leaving")
        or configuration.get("not_in_force")
        or configuration.get("store_reachable") is False
        or not configuration["confirmed"]
    )


class AccountSums:
    """Request counts of client accounts."""

    def __init__(self):
        self.accounts = {}
        self.keys = Counter()

    def add_reports(self, reports):
        """Add reports by the daemon's name; see `StatusSums.add_reports`."""
        errors = {}
        for name, report in reports.items():
            try:
                self.merge(report)
            except MALFORMED_ERRORS as error:
                errors[name] = unreadable(error)
        return errors

    def merge(self, plain):
        """Add a report, or another daemon's sums; see `StatusSums.merge`."""
        accounts = {
            name: read_counts(counts) for name, counts in plain["accounts"].items()
        }
        keys = read_counts(plain["keys"])
        for name, counts in accounts.items():
            self.accounts.setdefault(name, Counter()).update(counts)
        self.keys.update(keys)

    def plain(self):
        """Return the sums as JSON-compatible values that `merge` accepts."""
        accounts = {name: dict(counts) for name, counts in self.accounts.items()}
        return {"accounts": accounts, "keys": dict(self.keys)}


SUMS = {"status": StatusSums, "burn": BurnSums, "accounts": AccountSums}


def read_counts(counts):
    """Return counts by name, each of them converted to an integer."""
    return {str(name): int(count) for name, count in counts.items()}


def read_paths(paths):
    """Return the path, window and counts of each window of a burn report.

    The report is read in full before any of it is added: one that is added
    in part would make the sums wrong without a trace.
    """
    return [
        (key, window, read_outcomes(counts))
        for key, windows in paths.items()
        for window, counts in windows.items()
    ]


def read_outcomes(counts):
    """Return counts by outcome; raises `ValueError` for an unknown outcome."""
    if unknown := counts.keys() - OUTCOMES:
        raise ValueError(f"unknown outcome {min(unknown)!r:.40}")
    return read_counts(counts)


def unreadable(error):
    """Return the cause that is shown in place of a malformed report."""
    return f"its report can't be read: {type(error).__name__}: {error!s:.80}"
