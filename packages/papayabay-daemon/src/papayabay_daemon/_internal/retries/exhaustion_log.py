"""Logs when a service's retry budget is exhausted or replenished."""

RECOVERY_SECONDS = 2.0
"""Time without a refused retry after which the budget counts as replenished.
Under overload it alternates between exhausted and replenished with each call,
which would log two lines each time."""


class ExhaustionLog:
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
        """Record a refused retry.

        Parameters
        ----------
        service : str
        at : float
            Seconds on the budget's clock.
        tightest : callable
            Returns the `BudgetUse` of the window with the least budget left;
            called for the log line only.
        """
        if self.refusals == 0:
            use = tightest()
            self.log.warning(
                "retry budget of {} exhausted: {} retries of {:.1f} allowed, for {} "
                "first attempts and {} daemons, counted for {:.1f} s; refusing retries",
                service,
                use.repeats,
                use.allowed,
                use.firsts,
                use.sharers,
                use.age_s,
            )
        self.refusals += 1
        self.refused_at = at

    def admitted(self, service, at):
        """Record an admitted retry."""
        if self.refusals == 0 or at - self.refused_at < RECOVERY_SECONDS:
            return
        self.log.notice(
            "retry budget of {} replenished after {} refused retries; "
            "admitting retries",
            service,
            self.refusals,
        )
        self.refusals = 0
