"""Client accounts: who calls, and whether they may."""

from papayabay_daemon._internal.accounts.authentication import (
    Authenticator,
    Identity,
)

__all__ = ["Authenticator", "Identity"]
