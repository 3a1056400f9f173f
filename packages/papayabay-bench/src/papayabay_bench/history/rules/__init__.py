"""One module for each rule; each has a `violations(history, limits)`."""

from papayabay_bench.history.rules import (
    answers,
    asked,
    at_most_once,
    class_order,
    configuration,
    denied,
    draining,
    gone,
    leaving,
    lifetimes,
    not_run,
    retries,
    versions,
)

RULES = {
    "answers": answers.violations,
    "asked": asked.violations,
    "at-most-once": at_most_once.violations,
    "not-run": not_run.violations,
    "retries": retries.violations,
    "class-order": class_order.violations,
    "versions": versions.violations,
    "configuration": configuration.violations,
    "leaving": leaving.violations,
    "lifetimes": lifetimes.violations,
    "draining": draining.violations,
    "denied": denied.violations,
    "gone": gone.violations,
}
"""Name of each rule and the generator function that finds violations."""


def check(history, limits):
    """Return all violations of all rules."""
    return [violation for rule in RULES.values() for violation in rule(history, limits)]
