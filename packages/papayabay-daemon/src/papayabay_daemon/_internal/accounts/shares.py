"""Divides scarce capacity among accounts, in proportion to their limits."""

from dataclasses import dataclass, field

from papayabay_core.utils.clock import now
from papayabay_daemon._internal.accounts.demand import DemandRate
from papayabay_daemon._internal.accounts.slots import MAX_SLOTS

USAGE_TTL_SECONDS = 2.0
"""How long a usage that an owner has stated is used."""
FACTOR_SECONDS = 0.1
"""How long a computed factor is used again."""
MEAN_SECONDS = 0.5
"""How often the mean usage of the accounts is computed."""
REPORT_SECONDS = 0.5
"""Interval of the reports of an account's demand while load is refused."""
PENDING_TTL_SECONDS = 2.0
"""Requests that were not reported for so long are not reported any more. Else
an owner that is back would take them for a burst."""
MAX_ACCOUNTS = 8_192
"""Accounts beyond these are not learned from owners, only by requests."""
UNKNOWN_USAGE = 1.0
"""Usage that is assumed of all accounts while no owner has stated any."""
MIN_MEAN_USAGE = 0.01
PRIOR_REQUESTS = 2.0
"""Weight of the assumed usage beside the requests seen at this entry alone.
With many daemons an entry sees too few of them: without the weight, 62 daemons
gave 0.158 of the capacity to the wrong accounts, 2 daemons 0.029."""


@dataclass(slots=True)
class AccountDemand:
    """What this entry knows of one account.

    Attributes
    ----------
    rate_per_s : float
        The limit that the usages refer to; 0 before the first request.
    pending : int
        Requests that were not reported to an owner yet.
    reported_at : float
        When requests were last reported, or a report was tried.
    usages : dict of int to (float, float)
        By slot, the usage that its owner stated, and when.
    factor : float
        Multiple of the ranks, used until `factor_until`.
    own : DemandRate or None
        Requests at this entry; None before the first one.
    reachable : float
        Share of the slots whose owners take reports.
    """

    rate_per_s: float
    pending: int = 0
    reported_at: float = float("-inf")
    usages: dict[int, tuple[float, float]] = field(default_factory=dict)
    factor: float = 1.0
    factor_until: float = float("-inf")
    own: DemandRate | None = None
    reachable: float = 1.0


class AccountShares:
    """Rank factors by which a class is divided max-min among accounts.

    The factor of an account is half of its usage, that is, of its demand d as
    a multiple of its limit w. If ranks up to the share x are admitted, an
    account gets min(d, 2 x w).

    Parameters
    ----------
    clock : callable
        Seconds.
    daemon_count : callable
        Returns the number of live daemons.

    Attributes
    ----------
    counters : dict of str to int
        Requests refused for load of accounts whose usage is above the mean of
        all accounts, and of other accounts; reports sent.
    """

    def __init__(self, clock=now, daemon_count=lambda: 1):
        self.clock = clock
        self.daemon_count = daemon_count
        self.accounts = {}
        self.mean = UNKNOWN_USAGE
        self.mean_until = float("-inf")
        self.counters = dict.fromkeys(
            ("refused_beyond_share", "refused_within_share", "reports"), 0
        )

    def arrived(self, account):
        """Count a request of an account with a limit; return its factor."""
        known = self.known(account.name, account.limit.rate_per_s)
        moment = self.clock()
        if moment - known.reported_at > PENDING_TTL_SECONDS:
            known.pending = 0
        known.pending += 1
        if known.own is None:
            known.own = DemandRate(moment)
        known.own.record(1, moment)
        if moment >= known.factor_until:
            known.factor = self.usage_of(known, moment) / 2.0
            known.factor_until = moment + FACTOR_SECONDS
        return known.factor

    def typical_factor(self):
        """Return the factor of requests that belong to no limited account.

        They are treated like those of an account with the mean usage.
        """
        return self.mean_usage(self.clock()) / 2.0 if self.accounts else 1.0

    def known(self, name, rate_per_s):
        """Return the `AccountDemand` of an account; creates it if needed."""
        known = self.accounts.get(name)
        if known is None:
            known = self.accounts[name] = AccountDemand(rate_per_s)
        elif not known.rate_per_s:
            known.rate_per_s = rate_per_s
        return known

    def usage_of(self, known, moment):
        """Return the mean usage of the slots heard of recently.

        All slots of a limit are equal, so that the mean of all of them is the
        usage of the limit, whichever slots the entries prefer. Where owners
        are lost, the other slots get the demand of theirs too.
        """
        recent = recent_usages(known, moment)
        if recent:
            return sum(recent) / len(recent) * known.reachable
        return self.own_view(known, moment)

    def own_view(self, known, moment):
        """Return the usage estimated from the requests at this entry alone.

        It is the mean of a gamma distribution around the mean usage of the
        other accounts: with few requests expected here it stays near that.
        """
        # A mean raised by one account far beyond its limit is not typical.
        typical = min(UNKNOWN_USAGE, self.mean_usage(moment))
        if known.own is None:
            return typical
        expected = known.rate_per_s / self.daemon_count()
        seen = known.own.decayed(moment)
        return (PRIOR_REQUESTS + seen) / (PRIOR_REQUESTS / typical + expected)

    def mean_usage(self, moment):
        """Return the mean usage of the accounts heard of recently."""
        if moment >= self.mean_until:
            self.mean_until = moment + MEAN_SECONDS
            usages = [
                sum(recent) / len(recent)
                for known in self.accounts.values()
                if (recent := recent_usages(known, moment))
            ]
            mean = sum(usages) / len(usages) if usages else UNKNOWN_USAGE
            self.mean = max(MIN_MEAN_USAGE, mean)
        return self.mean

    def is_beyond(self, account):
        """Return whether an account's usage is above the mean."""
        moment = self.clock()
        known = self.known(account.name, account.limit.rate_per_s)
        return self.usage_of(known, moment) > self.mean_usage(moment)

    def refused(self, account):
        """Count a refusal for load.

        Returns
        -------
        bool
            Whether the demand has to be reported apart from token requests.
        """
        side = "beyond" if self.is_beyond(account) else "within"
        self.counters[f"refused_{side}_share"] += 1
        known = self.accounts[account.name]
        moment = self.clock()
        if not known.pending or moment - known.reported_at < REPORT_SECONDS:
            return False
        known.reported_at = moment
        return True

    def set_reachable(self, name, share):
        """Record the share of an account's slots whose owners take reports.

        Without any, the usages of the slots no longer rise by the demand that
        moves to other slots, and are used until their TTL ends.
        """
        known = self.accounts.get(name)
        if known is not None:
            known.reachable = share or 1.0

    def take_pending(self, name):
        """Return the requests to report to an owner now."""
        known = self.accounts.get(name)
        if known is None:
            return 0
        pending, known.pending = known.pending, 0
        if pending:
            known.reported_at = self.clock()
        return pending

    def restore_pending(self, name, count):
        """Add requests again whose report no owner has taken."""
        known = self.accounts.get(name)
        if known is not None:
            known.pending += count

    def learned(self, name, slot, usage):
        """Take over the usage of a slot, also before the first request."""
        if slot >= MAX_SLOTS:
            return
        if name not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            return
        known = self.known(name, 0.0)
        known.usages[slot] = usage, self.clock()

    def learned_others(self, others):
        """Take over usages of further slots that one reply states.

        Parameters
        ----------
        others : list of (str, int, float)
            Account, slot and usage.
        """
        moment = self.clock()
        accounts = self.accounts
        for name, slot, usage in others:
            known = accounts.get(name)
            if known is None:
                self.learned(name, slot, usage)
            elif slot < MAX_SLOTS:
                known.usages[slot] = usage, moment

    def policy_changed(self, policy):
        """Drop accounts without a limit; rescale usages to changed limits."""
        limits = {
            name: account.limit.rate_per_s
            for name, account in policy.accounts.by_name.items()
            if account.limit is not None
        }
        self.accounts = {
            name: known for name, known in self.accounts.items() if name in limits
        }
        for name, known in self.accounts.items():
            rescale(known, limits[name])


def rescale(known, rate_per_s):
    """Convert usages of an account to another limit."""
    if known.rate_per_s in (0.0, rate_per_s):
        return
    ratio = known.rate_per_s / rate_per_s
    known.usages = {
        slot: (usage * ratio, at) for slot, (usage, at) in known.usages.items()
    }
    known.rate_per_s = rate_per_s
    known.factor_until = float("-inf")


def recent_usages(known, moment):
    """Return the usages of an account that are not older than the TTL."""
    return [
        usage for usage, at in known.usages.values() if moment - at <= USAGE_TTL_SECONDS
    ]
