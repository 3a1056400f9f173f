"""Routes of the status door."""

from papayabay_core.configuration import decode_patches
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.accounts import AccountReport
from papayabay_daemon._internal.status.fleet import FleetReports
from papayabay_daemon._internal.status.page import StatusPage


class StatusRoutes:
    """Answers the status door's requests from the daemon's components.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.configuration = daemon.configuration
        self.quarantine = daemon.quarantine
        self.page = StatusPage(daemon)
        accounts = AccountReport(daemon.authenticator, daemon.limits)
        reports = {
            "status": self.page.status,
            "burn": self.page.burn,
            "accounts": accounts.values,
        }
        self.fleet_reports = FleetReports(daemon.membership, daemon.links, reports)

    def get_routes(self):
        """Return the handlers of GET requests by path.

        Each takes the query as a dict.
        """
        return {
            "/status": self.status,
            "/burn": self.burn,
            "/fleet/status": self.fleet,
            "/fleet/burn": self.fleet_burn,
            "/fleet/accounts": self.fleet_accounts,
            "/policy": self.policy,
            "/quarantine": self.quarantined,
        }

    def post_routes(self):
        """Return the handlers of POST requests by path.

        Each takes the body as bytes.
        """
        return {
            "/configuration/patches": self.apply_patches,
            "/quarantine/lift": self.lift,
        }

    async def status(self, query):
        """Return this daemon's status."""
        return self.page.status()

    async def burn(self, query):
        """Return this daemon's burn report."""
        return self.page.burn()

    async def fleet(self, query):
        """Return the status of all daemons, or one page of it.

        With ``after`` in the query, the page of full reports that follows
        the daemon of that name.
        """
        after = query.get("after")
        if after is None:
            return await self.fleet_reports.gather("status")
        return await self.fleet_reports.gather_page("status", after)

    async def fleet_burn(self, query):
        """Return the burn reports of all daemons, or their sums."""
        return await self.fleet_reports.gather("burn")

    async def fleet_accounts(self, query):
        """Return the account reports of all daemons, or their sums."""
        return await self.fleet_reports.gather("accounts")

    async def policy(self, query):
        """Return the policy in force and its version."""
        current = self.configuration.current
        return {"version": current.version, "values": current.values}

    async def quarantined(self, query):
        """Return the requests that the fleet keeps in quarantine."""
        return {"held": self.quarantine.list_entries()}

    async def lift(self, content):
        """Lift the quarantine of a request, here and on all other daemons."""
        try:
            lifted = self.quarantine.lift(content.decode())
        except ValueError:
            raise ProtocolError("no fingerprint in hexadecimal digits") from None
        return {"lifted": lifted}

    async def apply_patches(self, content):
        """Apply patches that an operator's command has just committed.

        The store may fail right after a commit, before any daemon has read
        it. Without this request, the patch would not come into force until
        the store is available again.
        """
        return {"version": self.configuration.apply_patches(decode_patches(content))}
