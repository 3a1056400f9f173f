"""Authentication of requests by the keys of client accounts."""

import asyncio
import unittest
from types import SimpleNamespace

from papayabay_core.account_keys import digest_key
from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import PolicyError
from papayabay_core.importance import Importance
from papayabay_core.policy.document import PolicyDocument, validate_policy
from papayabay_core.policy.rules import Policy
from papayabay_daemon._internal.doors.dialect import OwnCallerDialect
from tests.unit.daemon.account_support import (
    KEYS,
    FakeFreshness,
    account_policy,
    authenticator_of,
    incoming_with,
    rule_of,
)

HOST = (b"Host", b"svc")


def authenticated(policy, *fields, path="/read", freshness=None):
    """Authenticate a request; return its identity and the request."""
    incoming = incoming_with(HOST, *fields, dialect=OwnCallerDialect(), path=path)
    authenticator = authenticator_of(policy, freshness)
    authenticating = authenticator.authenticate(incoming, rule_of(policy, path))
    return asyncio.run(authenticating), incoming


def bearer(key, scheme=b"Bearer"):
    return (b"Authorization", scheme + b" " + key.encode())


class KeyTests(unittest.TestCase):
    def refused(self, *fields, path="/read"):
        with self.assertRaises(CallError) as raised:
            authenticated(account_policy(), *fields, path=path)
        return raised.exception

    def test_a_known_key_authenticates_its_account(self):
        identity, _ = authenticated(account_policy(), bearer(KEYS["small"]))
        self.assertEqual(identity.account.name, "small")

    def test_a_key_is_not_forwarded(self):
        """Guards against a caller's key reaching a target or its log."""
        _, incoming = authenticated(account_policy(), bearer(KEYS["small"]))
        self.assertNotIn("authorization", dict(lowered(incoming.headers)))

    def test_a_key_is_not_forwarded_on_a_public_path(self):
        """Guards against forwarding a key that the path does not need."""
        for key in (KEYS["small"], "unknown"):
            _, incoming = authenticated(account_policy(), bearer(key), path="/open")
            self.assertNotIn("authorization", dict(lowered(incoming.headers)))

    def test_missing_and_unknown_keys_get_the_same_answer(self):
        """Guards against an answer that helps an attacker to guess keys."""
        missing = self.refused()
        unknown = self.refused(bearer("nobody's"))
        self.assertEqual(missing.kind, ErrorKind.UNAUTHENTICATED)
        self.assertEqual(str(missing), str(unknown))

    def test_malformed_fields_are_refused(self):
        """Guards against header values that parsers interpret differently."""
        key = KEYS["small"].encode()
        for value in (
            b"",
            b"Bearer",
            b"Bearer ",
            key,
            b"Basic " + key,
            b"Bearer " + key + b" " + key,
            b"Bearer\t" + key,
            b"Bearer " + key + b",",
            b"Bearer " + b"a" * 8_192,
        ):
            with self.subTest(value=value[:40]):
                error = self.refused((b"authorization", value))
                self.assertEqual(error.kind, ErrorKind.UNAUTHENTICATED)

    def test_the_scheme_is_case_insensitive(self):
        identity, _ = authenticated(account_policy(), bearer(KEYS["large"], b"bEARER"))
        self.assertEqual(identity.account.name, "large")

    def test_two_keys_are_refused(self):
        """Guards against a request authenticated for two accounts at once."""
        fields = (HOST, bearer(KEYS["small"]), bearer(KEYS["large"]))
        with self.assertRaises(ValueError):
            incoming_with(*fields, dialect=OwnCallerDialect())

    def test_a_public_path_needs_no_key(self):
        identity, _ = authenticated(account_policy(), path="/open")
        self.assertIsNone(identity)

    def test_without_accounts_no_key_is_required_or_removed(self):
        policy = Policy(PolicyDocument(services={}), 1)
        identity, incoming = authenticated(policy, bearer("any"))
        self.assertIsNone(identity)
        self.assertIn("authorization", dict(lowered(incoming.headers)))

    def test_an_account_header_sent_by_a_caller_is_dropped(self):
        """Guards against a caller that impersonates another account."""
        fields = ((b"PAPAYABAY-Account", b"large"), bearer(KEYS["small"]))
        _, incoming = authenticated(account_policy(), *fields)
        self.assertNotIn("papayabay-account", dict(lowered(incoming.headers)))


class FreshnessTests(unittest.TestCase):
    """Keys checked against a configuration that may be outdated."""

    def refusal(self, *fields, path="/read", **freshness):
        with self.assertRaises(CallError) as raised:
            fake = FakeFreshness(**freshness)
            authenticated(account_policy(), *fields, path=path, freshness=fake)
        return raised.exception

    def test_a_known_key_is_refused_while_stale(self):
        """Guards against a partitioned daemon that accepts revoked keys."""
        error = self.refusal(bearer(KEYS["small"]), fresh=False)
        self.assertEqual(error.kind, ErrorKind.ACCOUNTS_STALE)
        self.assertGreater(error.retry_after_ms, 0)

    def test_an_unknown_key_is_refused_temporarily_while_stale(self):
        """Guards against a permanent refusal of a key that was just added."""
        for freshness in ({"fresh": False}, {"behind": True}):
            error = self.refusal(bearer("new"), **freshness)
            self.assertEqual(error.kind, ErrorKind.ACCOUNTS_STALE)

    def test_a_public_path_is_served_while_stale(self):
        stale = FakeFreshness(fresh=False)
        identity, _ = authenticated(account_policy(), path="/open", freshness=stale)
        self.assertIsNone(identity)

    def test_a_key_revoked_between_two_attempts_is_refused(self):
        """Guards against retries of a request whose key was revoked."""
        policies = [account_policy()]
        authenticator = authenticator_of(None)
        authenticator.policy_source = lambda: policies[-1]
        call = SimpleNamespace(key_digest=digest_key(KEYS["small"]))
        authenticator.check(call)
        policies.append(account_policy(small={"key_digests": []}))
        with self.assertRaises(CallError) as raised:
            authenticator.check(call)
        self.assertEqual(raised.exception.kind, ErrorKind.UNAUTHENTICATED)

    def test_freshness_is_checked_again_before_each_attempt(self):
        """Guards against a process that resumes with outdated accounts."""
        authenticator = authenticator_of(account_policy(), FakeFreshness(fresh=False))
        with self.assertRaises(CallError) as raised:
            authenticator.check(SimpleNamespace(key_digest="any"))
        self.assertEqual(raised.exception.kind, ErrorKind.ACCOUNTS_STALE)


class AnswerTests(unittest.TestCase):
    def test_a_401_names_the_scheme(self):
        error = CallError(ErrorKind.UNAUTHENTICATED)
        answer = OwnCallerDialect().render_error(error)
        self.assertIsInstance(answer, Answer)
        self.assertEqual(answer.status, 401)
        self.assertIn(("WWW-Authenticate", "Bearer"), answer.headers)


class PolicyTests(unittest.TestCase):
    def test_a_key_of_two_accounts_is_refused(self):
        """Guards against a key whose account depends on the order of names."""
        shared = {"key_digests": ["0" * 32]}
        values = {"accounts": {"a": shared, "b": shared}}
        with self.assertRaises(PolicyError):
            Policy(validate_policy(values, "policy"), 1)

    def test_a_key_in_plain_text_is_refused(self):
        """Guards against policy files with keys in version control."""
        values = {"accounts": {"a": {"key_digests": ["my-secret-key"]}}}
        with self.assertRaises(PolicyError) as raised:
            validate_policy(values, "policy")
        self.assertNotIn("my-secret-key", str(raised.exception))

    def test_an_account_may_set_the_class_of_its_calls(self):
        policy = account_policy(small={"importance": "critical"})
        classes = {name: a.importance for name, a in policy.accounts.by_name.items()}
        self.assertEqual(classes, {"small": Importance.CRITICAL, "large": None})


def lowered(headers):
    """Return header fields with their names in lower case."""
    return [(name.lower(), value) for name, value in headers]


if __name__ == "__main__":
    unittest.main()
