"""Explains which settings apply to a call, and which policy keys set them."""

from dataclasses import dataclass

from papayabay_cli.changes import value_at
from papayabay_core.policy.rules import DEFAULT_CALL

SECTIONS = ("admission", "retries", "routing")


@dataclass(frozen=True, slots=True)
class Fact:
    """One setting that applies to a call.

    Attributes
    ----------
    name : str
    value : object
        JSON-compatible.
    key : str
        The dotted policy key that sets the value; empty when no key is set
        and the value is the default.
    """

    name: str
    value: object
    key: str


def explain_call(configuration, service, method, path):
    """Return the settings that apply to a call at a version of the policy.

    Parameters
    ----------
    configuration : Configuration
    service, method, path : str

    Returns
    -------
    list of Fact

    Raises
    ------
    PolicyError
    """
    policy = configuration.policy()
    rule = policy.rule_for(service, method, path)
    values = configuration.values
    base = f"services.{service}"
    call = f"{base}.calls.{rule.name}" if is_declared(policy, rule) else ""

    def fact(name, value, *keys):
        return Fact(name, value, first_set(values, keys))

    def call_key(name):
        return f"{call}.{name}" if call else ""

    return [
        fact("call path", rule.path_key, call),
        fact("class", rule.importance.name.lower(), call_key("importance")),
        fact(
            "lifetime_ms",
            rule.deadline_ms,
            call_key("deadline_ms"),
            f"{base}.deadline_ms",
        ),
        fact(
            "retry_credits",
            rule.retry_credits,
            call_key("retry_credits"),
            f"{base}.retries.credits",
        ),
        fact(
            "idempotent", rule.idempotent, call_key("idempotent"), call_key("methods")
        ),
        *at_most_once_facts(rule, fact, call_key),
        fact("objective", objective_of(rule), call_key("objective")),
        *service_facts(policy, service, fact),
    ]


def is_declared(policy, rule):
    """Return whether a rule is declared, rather than the default one."""
    return rule.name in policy.declaration(rule.service).calls and any(
        compiled.rule is rule for compiled in policy.calls[rule.service]
    )


def at_most_once_facts(rule, fact, call_key):
    """Return how a call is run at most once; nothing if it is idempotent."""
    if rule.idempotent:
        return []
    return [fact("at_most_once", rule.at_most_once, call_key("at_most_once"))]


def objective_of(rule):
    """Return the objective as a dict, or None."""
    return rule.objective and rule.objective.model_dump()


def service_facts(policy, service, fact):
    """Return the settings that all calls of a service share.

    The retry credits are left out, since each call has its own.
    """
    declaration = policy.declaration(service)
    return [
        fact(f"{section}.{name}", value, f"services.{service}.{section}.{name}")
        for section in SECTIONS
        for name, value in getattr(declaration, section).model_dump().items()
        if (section, name) != ("retries", "credits")
    ]


def first_set(values, keys):
    """Return the first key that the policy sets, or an empty string."""
    return next((k for k in keys if k and value_at(values, k) is not None), "")


def is_default_rule(facts):
    """Return whether no declared call path matched the call."""
    return facts[0].value.endswith(f"/{DEFAULT_CALL}") and not facts[0].key
