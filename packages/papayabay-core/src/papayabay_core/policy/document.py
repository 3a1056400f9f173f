"""Schema and validation of the policy document that operators write."""

import tomllib
from typing import Annotated, Literal

from msgspec import Meta

from papayabay_core.account_keys import DIGEST_PATTERN
from papayabay_core.exceptions import PolicyError
from papayabay_core.models import InvalidValues, Strict, explain_faults

MAX_MILLISECONDS = 3_600_000
MAX_WEIGHT = 2**53
"""Largest weight; JSON libraries agree on whole numbers up to this one (RFC
8259, section 6)."""
MAX_ATTEMPTS = 64
MAX_RATE_PER_S = 10_000_000.0
MAX_BURST = 100_000_000
MAX_WINDOW_REPEATS = 1_000_000
Milliseconds = Annotated[int, Meta(gt=0, le=MAX_MILLISECONDS)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
ServiceName = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z")]
AccountName = Annotated[str, Meta(pattern=r"^[\x21-\x7e]{1,200}\Z")]
KeyDigest = Annotated[str, Meta(pattern=DIGEST_PATTERN)]
CallName = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}\Z")]
# Methods are compared case-sensitively. Without this pattern, a call path
# declared for "post" would never match, and its calls would silently get the
# default rule.
Method = Annotated[str, Meta(pattern=r"^[A-Z0-9!#$%&'*+.^_`|~-]{1,32}\Z")]


class Decisions(Strict, frozen=True, kw_only=True):
    """Algorithm used for each decision.

    `kept_share` and `return_times` are deprecated and have no effect.
    """

    admission: Literal["ranked", "dagor", "codel", "gradient", "static", "open"] = (
        "ranked"
    )
    shared_rank: bool = True
    kept_share: Share | None = None
    min_served_share: Share = 0.0
    upstream_refusal: bool = True
    retries: Literal["credits", "per-hop"] = "credits"
    per_hop_retries: Annotated[int, Meta(ge=0, le=10)] = 3
    deadlines: bool = True
    routing: Literal["two-choices", "round-robin"] = "two-choices"
    cold_start_ramp: bool = True
    slot_search: bool = True
    outlier_ejection: bool = True
    retry_after: bool = True
    quarantine: bool = True
    account_limits: Literal["keepers", "parts"] = "keepers"
    account_shares: Literal["none", "max-min"] = "none"
    equals: Literal["rank", "work"] = "rank"
    queue_order: Literal["depth", "due"] = "depth"
    return_times: Literal["jitter", "backlog"] | None = None


class Admission(Strict, frozen=True, kw_only=True):
    """Admission settings of one service, used by its targets' daemons.

    `overload_hold_ms` is deprecated and has no effect.
    """

    queue_target_ms: Milliseconds = 20
    queue_max_ms: Milliseconds = 150
    static_limit: Annotated[int, Meta(ge=1, le=100_000)] | None = None
    cold_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.1
    overload_hold_ms: Milliseconds | None = None
    repeat_limit: bool = False


class Retries(Strict, frozen=True, kw_only=True):
    """Retry credits and retry budget of one service."""

    credits: Annotated[int, Meta(ge=0, le=64)] = 3
    ratio: Share = 0.1
    window_ms: Milliseconds | None = None
    window_repeats: Annotated[int, Meta(ge=0, le=MAX_WINDOW_REPEATS)] = 0


class Routing(Strict, frozen=True, kw_only=True):
    """How calling daemons choose among the upstreams of a service."""

    subset: Annotated[int, Meta(ge=1, le=256)] = 12
    prefer_own_domain: bool = True
    own_domain_usage: Share = 0.0
    max_ejected_share: Share = 0.34
    score: Literal["usage", "completion"] = "usage"


class Objective(Strict, frozen=True, kw_only=True):
    """A service-level objective of one call path."""

    good_share: Annotated[float, Meta(gt=0.0, lt=1.0)]
    latency_ms: Milliseconds | None = None


class CallDeclaration(Strict, frozen=True, kw_only=True):
    """Declaration of one call path of a service."""

    methods: Annotated[list[Method], Meta(min_length=1)]
    path: Annotated[str, Meta(pattern=r"^/")]
    importance: Literal["critical", "normal", "sheddable"] = "normal"
    idempotent: bool | None = None
    at_most_once: Literal["claim", "token", "either"] = "either"
    deadline_ms: Milliseconds | None = None
    retry_credits: Annotated[int, Meta(ge=0, le=64)] | None = None
    objective: Objective | None = None
    public: bool = False


class ServiceDeclaration(Strict, frozen=True, kw_only=True):
    """Declaration of one service."""

    deadline_ms: Milliseconds = 2_000
    health_path: Annotated[str, Meta(pattern=r"^/[\x21-\x7e]{0,200}\Z")] | None = None
    admission: Admission = Admission()
    retries: Retries = Retries()
    routing: Routing = Routing()
    calls: dict[CallName, CallDeclaration] = {}


class WeightedService(Strict, frozen=True, kw_only=True):
    """A service that gets a share of a route's requests, by weight."""

    service: ServiceName
    weight: Annotated[int, Meta(ge=0, le=MAX_WEIGHT)]


def check_weights(services):
    """Raise `ValueError` unless a service of the route has a weight."""
    if not any(weighted.weight for weighted in services):
        raise ValueError("no service of the route has a weight above 0")


class RouteDeclaration(Strict, frozen=True, kw_only=True):
    """Declaration of a route: requests to one host below one path prefix.

    A request takes the route of its host with the longest matching prefix. If
    that route is disabled, the request is refused.
    """

    checks = {"services": check_weights}

    name: Annotated[str, Meta(min_length=1, max_length=200)]
    host: Annotated[str, Meta(pattern=r"^[\x21-\x7e]{1,255}\Z")]
    prefix: Annotated[str, Meta(pattern=r"^/([\x21-\x7e]*/)?\Z", max_length=1_024)]
    services: Annotated[list[WeightedService], Meta(min_length=1, max_length=64)]
    idempotent: bool = True
    importance: Literal["critical", "normal", "sheddable"] = "normal"
    timeout_ms: Milliseconds
    latency_ms: Milliseconds | None = None
    attempts: Annotated[int, Meta(ge=1, le=MAX_ATTEMPTS)] = 2
    retry_credits: Annotated[int, Meta(ge=0, le=64)] = 3
    public: bool = False
    disabled: bool = False


class AccountDeclaration(Strict, frozen=True, kw_only=True):
    """Declaration of one client account."""

    key_digests: list[KeyDigest] = []
    importance: Literal["critical", "normal", "sheddable"] | None = None
    rate_per_s: Annotated[float, Meta(ge=0.0, le=MAX_RATE_PER_S)] = 0.0
    burst: Annotated[int, Meta(ge=0, le=MAX_BURST)] = 0


class Authentication(Strict, frozen=True, kw_only=True):
    """Settings of the authentication of client accounts."""

    max_staleness_ms: Milliseconds | None = None


class PolicyDocument(Strict, frozen=True, kw_only=True):
    """The complete policy; configuration patches apply to this document."""

    format: Literal[1] = 1
    decisions: Decisions = Decisions()
    services: dict[ServiceName, ServiceDeclaration] = {}
    routes: list[RouteDeclaration] = []
    authentication: Authentication = Authentication()
    accounts: dict[AccountName, AccountDeclaration] = {}


def validate_policy(values, source):
    """Return the `PolicyDocument` of plain values.

    Parameters
    ----------
    values : dict
        As read from TOML or JSON.
    source : str
        File name or version, for the error message.

    Raises
    ------
    PolicyError
        With one line per fault, each with source and key.
    """
    try:
        return PolicyDocument.model_validate(values)
    except InvalidValues as error:
        raise PolicyError(explain_faults(error, source)) from None


def validate_change(values, source, previous_values, previous):
    """Return the `PolicyDocument` of values that a merge patch produced.

    A merge patch keeps the objects that it does not change, so services with
    identical objects are not validated again. Validating hundreds of services
    at each patch would block the daemon.

    Parameters
    ----------
    values : dict
    source : str
        File name or version, for the error message.
    previous_values : dict
        Plain values of `previous`.
    previous : PolicyDocument
        The document before the patch.

    Raises
    ------
    PolicyError
    """
    services, before = values.get("services"), previous_values.get("services")
    if not isinstance(services, dict) or not isinstance(before, dict):
        return validate_policy(values, source)
    changed = {
        name: service
        for name, service in services.items()
        if service is not before.get(name)
    }
    document = validate_policy(values | {"services": changed}, source)
    merged = {
        name: (document if name in changed else previous).services[name]
        for name in services
    }
    return document.model_copy(update={"services": merged})


def parse_policy(text, source="policy"):
    """Return the `PolicyDocument` written in TOML.

    Raises
    ------
    PolicyError
        When the text is not TOML or not a valid policy.
    """
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PolicyError(f"{source}: not valid TOML: {error}") from None
    return validate_policy(values, source)
