"""Selects the counters from the membership's status."""

MEMBER_COUNTERS = (
    "pauses",
    "packets_sent",
    "packets_received",
    "bytes_sent",
    "bytes_received",
    "strays",
    "send_errors",
    "misdirected",
    "refutations",
    "name_conflicts",
    "members_refused",
    "exchange_errors",
    "store_errors",
    "seed_writes",
    "seed_conflicts",
)


def member_counters(membership):
    """Return the values of a membership's status that are counters.

    The others are gauges, such as the number of live members. Sent to statsd
    as counter increments and summed over daemons, they would be meaningless.
    """
    status = membership.status()
    return {name: status[name] for name in MEMBER_COUNTERS}
