"""Tests of the platform's tenants as client accounts."""

import json
import unittest

from papayabay_core.account_keys import digest_key
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.models import InvalidValues
from papayabay_daemon._internal.doors.headers import filter_headers
from papayabay_daemon._internal.target.announcement import Announcement
from papayabay_platform.caller_dialect import PlatformCallerDialect
from papayabay_platform.configuration import OperatorConfiguration
from papayabay_platform.target_dialect import PlatformTargetDialect
from tests.unit.daemon.account_support import account_call

TENANT = {
    "name": "pulo780",
    "apiKeys": ["maj3nr26", "kmgjqnir"],
    "priority": 1,
    "ratePerS": 178,
    "burst": 90,
}
ROUTE = {
    "name": "read",
    "host": "h.example",
    "prefix": "/read/",
    "kind": "safe",
    "timeout": "5s",
    "priority": 2,
    "service": "svc-1",
    "public": False,
}


def configuration(**changes):
    values = {
        "version": "r7",
        "routes": [ROUTE],
        "services": [{"name": "svc-1"}],
        "tenants": [TENANT],
    }
    model = OperatorConfiguration.model_validate(values | changes)
    return model.configuration({"ratio": 0.2}, {})


class ConfigurationTests(unittest.TestCase):
    def test_tenant_becomes_account_with_key_digests(self):
        account = configuration().values["accounts"]["pulo780"]
        self.assertEqual(account["key_digests"], [*map(digest_key, TENANT["apiKeys"])])
        policy = configuration().policy()
        found = policy.accounts.find(digest_key("kmgjqnir"))
        self.assertEqual((found.name, found.importance), ("pulo780", Importance.NORMAL))
        self.assertEqual((found.limit.rate_per_s, found.limit.burst), (178, 90))

    def test_configuration_contains_no_key(self):
        """Guards against keys in configurations sent to peers or displayed."""
        content = json.dumps(configuration().values)
        for key in TENANT["apiKeys"]:
            self.assertNotIn(key, content)

    def test_fault_of_a_tenant_contains_no_key(self):
        """Guards against keys in the log line about a refused version."""
        broken = TENANT | {"apiKeys": ["maj3nr26", 7]}
        with self.assertRaises(InvalidValues) as raised:
            configuration(tenants=[broken])
        self.assertNotIn("maj3nr26", str(raised.exception))

    def test_routes_may_be_public(self):
        policy = configuration(routes=[ROUTE | {"public": True}]).policy()
        rule = policy.routes.find("h.example", "/read/1").rules[0]
        self.assertTrue(rule.public)

    def test_no_tenants_give_no_accounts(self):
        self.assertFalse(configuration(tenants=[]).policy().accounts)


class DialectTests(unittest.TestCase):
    def read(self, *fields):
        dialect = PlatformCallerDialect("svc-0")
        raw = [(b"Host", b"h.example"), (b"X-Papayabay-Request-Id", b"9c41"), *fields]
        return dialect.read("GET", "/read/7", filter_headers(raw, dialect.names))

    def test_tenant_field_of_a_client_is_removed(self):
        """Guards against a client that claims a tenant, in any letter case."""
        for name in (b"X-Papayabay-Tenant", b"x-papayabay-TENANT"):
            incoming = self.read((name, b"pulo780"))
            names = [field.lower() for field, _ in incoming.headers]
            self.assertNotIn("x-papayabay-tenant", names)

    def test_key_is_read(self):
        incoming = self.read((b"AUTHORIZATION", b"Bearer maj3nr26"))
        self.assertEqual(incoming.authorization, "Bearer maj3nr26")

    def test_tenant_is_sent_to_the_upstream(self):
        call = account_call("pulo780", request_id="9c41", service="svc-1")
        announcement = Announcement("svc-1", "127.0.0.1", 1, 4, 8, "i-1")
        head = PlatformTargetDialect().request_head(call, "t", announcement)
        self.assertIn(b"\r\nX-Papayabay-Tenant: pulo780\r\n", head)

    def test_statuses_and_retry_after(self):
        """Guards against a retryable refusal without Retry-After."""
        dialect = PlatformCallerDialect("svc-0")
        for kind, status, has_retry_after in (
            (ErrorKind.UNAUTHENTICATED, 401, False),
            (ErrorKind.RATE_LIMITED, 429, True),
            (ErrorKind.ACCOUNTS_STALE, 503, True),
            (ErrorKind.LIMIT_UNKNOWN, 503, True),
        ):
            answer = dialect.render_error(CallError(kind))
            names = [name for name, _ in answer.headers]
            self.assertEqual(answer.status, status)
            self.assertEqual("Retry-After" in names, has_retry_after)


if __name__ == "__main__":
    unittest.main()
