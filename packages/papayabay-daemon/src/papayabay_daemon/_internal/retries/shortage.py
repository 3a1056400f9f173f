"""Logs when a service's retry budget is exhausted, and when it recovers."""

QUIET_SECONDS = 2.0
"""Time without a refused retry after which the budget counts as recovered. In
an overload it is exhausted and replenished with each call."""


class BudgetShortage:
    """Logs the first retry refused for an exhausted budget, and the recovery.

    Parameters
    ----------
    log : logbook.Logger
    """

    def __init__(self, log):
        self.log = log
        self.refusals = 0
        self.refused_at = 0.0

    def refused(self, service, at, tightest):
        """Note a refused repeat.

        Parameters
        ----------
        service : str
        at : float
            Seconds on the account's clock.
        tightest : callable
            Returns the `BudgetUse` of the window with the least room; called
            for the log line only.
        """
        if self.refusals == 0:
            use = tightest()
            self.log.warning(
                "the budget of repeats of {} is spent: {} let through of {:.1f}, "
                "for {} first attempts; {} share it, counted for {:.1f} s",
                service,
                use.repeats,
                use.allowed,
                use.firsts,
                use.sharers,
                use.age_s,
            )
        self.refusals += 1
        self.refused_at = at

    def allowed(self, service, at):
        """Note a repeat that was let through."""
        if self.refusals == 0 or at - self.refused_at < QUIET_SECONDS:
            return
        self.log.notice(
            "the budget of repeats of {} is there again, after {} refused",
            service,
            self.refusals,
        )
        self.refusals = 0
