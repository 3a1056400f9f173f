"""Requests and policies with client accounts, for tests."""

from types import SimpleNamespace

from papayabay_core.account_keys import digest_key
from papayabay_core.calls import Body, Call
from papayabay_core.importance import Importance
from papayabay_core.policy.document import PolicyDocument
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.accounts import Authenticator
from papayabay_daemon._internal.doors.headers import end_to_end
from papayabay_daemon._internal.doors.incoming import Incoming
from tests.lib.cluster_fakes import seeded_rng

KEYS = {"small": "key-of-small", "large": "key-of-large"}


def account_policy(version=1, **changes):
    """Return a policy with the accounts of `KEYS`.

    Keyword arguments change the values of the account of that name.
    """
    accounts = {
        name: {"key_digests": [digest_key(key)]} | changes.get(name, {})
        for name, key in KEYS.items()
    }
    values = {
        "accounts": accounts,
        "services": {
            "svc": {
                "calls": {
                    "open": {"methods": ["GET"], "path": "/open", "public": True},
                    "read": {"methods": ["GET"], "path": "/*"},
                }
            }
        },
    }
    return Policy(PolicyDocument.model_validate(values), version)


class FakeFreshness:
    """A `Freshness` with fixed values."""

    def __init__(self, fresh=True, behind=False):
        self.fresh = fresh
        self.behind = behind

    def is_fresh(self):
        return self.fresh

    def is_behind(self):
        return self.behind

    async def ensure_fresh(self):
        return self.fresh


def authenticator_of(policy, freshness=None):
    """Return an authenticator with a seeded generator."""
    return Authenticator(lambda: policy, freshness or FakeFreshness(), seeded_rng("a"))


def incoming_with(*fields, dialect, path="/read"):
    """Return a request parsed from raw header fields."""
    request = dialect.read("GET", path, end_to_end(fields, dialect.names))
    assert isinstance(request, Incoming)
    return request


def rule_of(policy, path="/read"):
    """Return the rule for GET requests to a path of the service."""
    return policy.rule_for("svc", "GET", path)


def account_call(account, **changes):
    """Return a call of an account; the empty name stands for no account."""
    values = {
        "request_id": "r",
        "service": "svc",
        "method": "GET",
        "path": "/read",
        "headers": [],
        "body": Body(),
        "importance": Importance.NORMAL,
        "rank": 1,
        "depth": 0,
        "expires_at": 1e12,
        "credits": 0,
    }
    return Call(**values | changes, account=account)


def live_call(request_id):
    """Return a stand-in with the call attributes that `CallTree` reads."""
    return SimpleNamespace(request_id=request_id, credits=0, expires_at=1e12)
