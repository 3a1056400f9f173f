"""Client accounts: authentication by key, and rate limits."""

from papayabay_daemon._internal.accounts.authentication import (
    Authenticator,
    Identity,
)
from papayabay_daemon._internal.accounts.demand_reports import DemandReports
from papayabay_daemon._internal.accounts.equal_shares import EqualShareLimiter
from papayabay_daemon._internal.accounts.limit_owner import LimitOwner
from papayabay_daemon._internal.accounts.owner_limiter import OwnerLimiter
from papayabay_daemon._internal.accounts.owner_ring import OwnerRing
from papayabay_daemon._internal.accounts.rate_limits import RateLimits
from papayabay_daemon._internal.accounts.report import AccountReport
from papayabay_daemon._internal.accounts.shares import AccountShares

__all__ = [
    "AccountReport",
    "AccountShares",
    "Authenticator",
    "DemandReports",
    "EqualShareLimiter",
    "Identity",
    "OwnerLimiter",
    "OwnerRing",
    "LimitOwner",
    "RateLimits",
]
