"""The policies that a scenario can be run under, by name."""

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
"""No control: a relay that repeats every failed call, 3 times at each hop."""

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
"""Changes to the default decisions, by policy name."""

DEFAULT_POLICY = "ranked"


class UnknownPolicy(Exception):
    """No policy has this name."""


def decisions_of(name):
    """Return the decisions of a policy.

    Raises
    ------
    UnknownPolicy
        Naming those that there are.
    """
    if name not in POLICIES:
        raise UnknownPolicy(f"no policy {name}; there are {', '.join(POLICIES)}")
    return POLICIES[name]
