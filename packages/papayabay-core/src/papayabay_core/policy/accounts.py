"""Client accounts, compiled for looking up requests."""

from dataclasses import dataclass

from papayabay_core.exceptions import PolicyError
from papayabay_core.importance import Importance
from papayabay_core.policy.document import AccountDeclaration


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of an account, shared by all daemons.

    Attributes
    ----------
    rate_per_s : float
        Sustained requests per second.
    burst : int
        Requests allowed at once on top of the sustained rate.
    """

    rate_per_s: float
    burst: int


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    name : str
    importance : Importance or None
        Class of its requests; None to use the class of the call rule.
    limit : RateLimit or None
        None for no limit.
    """

    name: str
    importance: Importance | None
    limit: RateLimit | None


class AccountTable:
    """All accounts, by name and by key digest.

    Parameters
    ----------
    declarations : dict of str to AccountDeclaration

    Raises
    ------
    PolicyError
        When two accounts share a key.
    """

    def __init__(self, declarations):
        self.by_name = {}
        self.by_digest = {}
        for name, declaration in declarations.items():
            account = compile_account(name, declaration)
            self.by_name[name] = account
            for digest in declaration.key_digests:
                if self.by_digest.setdefault(digest, account) is not account:
                    other = self.by_digest[digest].name
                    raise PolicyError(f"accounts {other} and {name} share a key")

    def __bool__(self):
        return bool(self.by_name)

    def find(self, digest):
        """Return the account of a key digest, or None."""
        return self.by_digest.get(digest)


def compile_account(name, declaration: AccountDeclaration):
    """Return the `Account` of a declaration."""
    importance = declaration.importance and Importance[declaration.importance.upper()]
    limit = None
    if declaration.rate_per_s:
        limit = RateLimit(declaration.rate_per_s, declaration.burst)
    return Account(name, importance, limit)
