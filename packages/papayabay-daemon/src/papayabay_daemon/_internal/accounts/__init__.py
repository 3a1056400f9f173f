"""Client accounts: who calls, and whether they may."""

from papayabay_daemon._internal.accounts.authentication import Authenticator

__all__ = ["Authenticator"]
