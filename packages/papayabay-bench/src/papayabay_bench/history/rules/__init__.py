"""The rules of a history, one module each.

Each module has a generator function `violations(history, limits)`; one that
checks several rules has one for each.
"""

from papayabay_bench.history.rules import (
    answers,
    asked,
    at_most_once,
    configuration,
    denied,
    draining,
    gone,
    leaving,
    lifetimes,
    not_run,
    retries,
    slot_grants,
    versions,
)

RULES = {
    "answers": answers.violations,
    "asked": asked.violations,
    "at-most-once": at_most_once.violations,
    "not-run": not_run.violations,
    "retries": retries.violations,
    "class-order": slot_grants.class_order_violations,
    "idle-refusal": slot_grants.idle_refusal_violations,
    "versions": versions.violations,
    "configuration": configuration.violations,
    "leaving": leaving.violations,
    "lifetimes": lifetimes.violations,
    "draining": draining.violations,
    "denied": denied.violations,
    "gone": gone.violations,
}
"""Functions that yield the violations of each rule, by rule name."""


def check(history, limits):
    """Return the violations of all rules in a history."""
    return [violation for rule in RULES.values() for violation in rule(history, limits)]
