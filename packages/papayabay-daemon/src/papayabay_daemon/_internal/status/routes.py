"""What the status door answers, by path."""

from papayabay_core.configuration import decode_patches
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.accounts import AccountReport
from papayabay_daemon._internal.status.fleet import FleetReports
from papayabay_daemon._internal.status.page import StatusPage


class StatusRoutes:
    """Answers the status door's requests from the parts of a daemon.

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
        self.reports = FleetReports(daemon.membership, daemon.links, reports)

    def reads(self):
        """Return, by path, what answers a request with its query."""
        return {
            "/status": self.status,
            "/burn": self.burn,
            "/fleet/status": self.fleet,
            "/fleet/burn": self.fleet_burn,
            "/fleet/accounts": self.fleet_accounts,
            "/policy": self.policy,
            "/quarantine": self.held_back,
        }

    def writes(self):
        """Return, by path, what takes the content of a request."""
        return {
            "/configuration/patches": self.take_patches,
            "/quarantine/lift": self.lift,
        }

    async def status(self, query):
        """Return this daemon's status."""
        return self.page.status()

    async def burn(self, query):
        """Return this daemon's good and bad requests."""
        return self.page.burn()

    async def fleet(self, query):
        """Return the status of all daemons, whole or a page of it."""
        after = query.get("after")
        if after is None:
            return await self.reports.gather("status")
        return await self.reports.gather_page("status", after)

    async def fleet_burn(self, query):
        """Return the good and bad requests of all daemons."""
        return await self.reports.gather("burn")

    async def fleet_accounts(self, query):
        """Return the requests of client accounts of all daemons."""
        return await self.reports.gather("accounts")

    async def policy(self, query):
        """Return the policy in force and its version."""
        current = self.configuration.current
        return {"version": current.version, "values": current.values}

    async def held_back(self, query):
        """Return the requests that all daemons hold back."""
        return {"held": self.quarantine.list_entries()}

    async def lift(self, content):
        """Hold a request back no longer, here and at all daemons."""
        try:
            lifted = self.quarantine.lift(content.decode())
        except ValueError:
            raise ProtocolError("no fingerprint in hexadecimal digits") from None
        return {"lifted": lifted}

    async def take_patches(self, content):
        """Take patches that an operator's command has just committed.

        The store may fail right after a commit, before any reader has seen
        it. Then nobody but the command that made it knows the patch, and it
        would not come in force until the store is back.
        """
        return {"version": self.configuration.apply_patches(decode_patches(content))}
