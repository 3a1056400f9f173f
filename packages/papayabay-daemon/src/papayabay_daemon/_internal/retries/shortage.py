"""Tells when a service's budget of repeats runs out, and when it is back."""

QUIET_SECONDS = 2.0
"""Without a refusal for so long, the budget is there again. In an overload it
runs out and comes back with each call; lines for each would bury all else."""


class BudgetShortage:
    """Logs that repeats are refused for a spent budget, and the end of that.

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
            Returns the `BudgetUse` of the window with the least room. Asked
            for the line alone: it takes as long as deciding on the repeat.
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
