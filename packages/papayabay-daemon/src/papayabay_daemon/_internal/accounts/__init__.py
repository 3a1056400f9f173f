"""Client accounts: who calls, and whether they may."""

from papayabay_daemon._internal.accounts.asking import KeeperLimiter
from papayabay_daemon._internal.accounts.authentication import (
    Authenticator,
    Identity,
)
from papayabay_daemon._internal.accounts.keeping import LimitKeeper
from papayabay_daemon._internal.accounts.limiting import RateLimits
from papayabay_daemon._internal.accounts.parts import EqualParts
from papayabay_daemon._internal.accounts.report import AccountReport
from papayabay_daemon._internal.accounts.ring import KeeperRing

__all__ = [
    "AccountReport",
    "Authenticator",
    "EqualParts",
    "Identity",
    "KeeperLimiter",
    "KeeperRing",
    "LimitKeeper",
    "RateLimits",
]
