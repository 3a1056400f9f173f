"""Defines the named policies that scenarios can be run with."""

PLAIN_RELAY = {
    "admission": "open",
    "shared_rank": False,
    "upstream_refusal": False,
    "retries": "per-hop",
    "per_hop_retries": 3,
    "deadlines": False,
    "routing": "round-robin",
    "cold_start_ramp": False,
    "slot_search": False,
    "outlier_ejection": False,
    "retry_after": False,
}
"""No overload control: a proxy that retries every failed call up to 3 times
at each hop."""

POLICIES = {
    "ranked": {},
    "none": PLAIN_RELAY,
    "static": PLAIN_RELAY | {"admission": "static"},
    "per-hop": {
        "shared_rank": False,
        "upstream_refusal": False,
        "retries": "per-hop",
        "per_hop_retries": 3,
    },
    "dagor": {"admission": "dagor"},
    "codel": {"admission": "codel"},
    "gradient": {"admission": "gradient"},
}
"""Overrides of the default decisions, by policy name."""

DEFAULT_POLICY = "ranked"


class UnknownPolicy(Exception):
    """A policy name that `POLICIES` doesn't have."""


def decisions_of(name):
    """Return the overrides of the default decisions for a policy.

    Raises
    ------
    UnknownPolicy
        When there is no such policy; lists the known ones.
    """
    if name not in POLICIES:
        raise UnknownPolicy(
            f"unknown policy {name}; known policies: {', '.join(POLICIES)}"
        )
    return POLICIES[name]
