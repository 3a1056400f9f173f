"""Reports the demand of accounts while their requests are refused for load."""

import asyncio

import logbook

from papayabay_core.errors import CallError, Effect, ErrorKind

CALM_SECONDS = 2.0
"""Time without a refusal for load after which the shares end to matter."""
log = logbook.Logger("papayabay.accounts")


class DemandReports:
    """Watches requests of accounts with a limit for refusals for load.

    Such requests are refused before they ask for a token, so that no token
    request states their demand.

    Parameters
    ----------
    shares : AccountShares
    limiter : OwnerLimiter
    """

    def __init__(self, shares, limiter):
        self.shares = shares
        self.limiter = limiter
        self.tasks = {}
        self.refusals = 0
        self.refused_at = float("-inf")

    async def watch(self, account, awaitable):
        """Await a request's answer; report the demand if load is refused."""
        try:
            answer = await awaitable
        except CallError as error:
            if error.kind is ErrorKind.OVERLOADED:
                self.refused(account)
            raise
        if answer.kind is ErrorKind.OVERLOADED and answer.effect is Effect.NOT_RUN:
            self.refused(account)
        elif self.refusals:
            self.log_end()
        return answer

    def refused(self, account):
        """Record a refusal; report at most one at a time for an account."""
        if not self.refusals:
            log.notice("load is refused; ordering requests by their accounts' shares")
        self.refusals += 1
        self.refused_at = self.shares.clock()
        if self.shares.refused(account) and account.name not in self.tasks:
            task = asyncio.ensure_future(self.report(account))
            self.tasks[account.name] = task
            task.add_done_callback(lambda _: self.tasks.pop(account.name, None))

    async def report(self, account):
        """Report an account's demand to the owner of one slot."""
        self.shares.counters["reports"] += 1
        await self.limiter.report_demand(account)

    def log_end(self):
        """Log that load is no longer refused."""
        if self.shares.clock() - self.refused_at < CALM_SECONDS:
            return
        counters = self.shares.counters
        log.notice(
            "load is no longer refused after {} requests of accounts; since the "
            "start {} were beyond and {} within their account's share",
            self.refusals,
            counters["refused_beyond_share"],
            counters["refused_within_share"],
        )
        self.refusals = 0
