"""Builds the daemons' settings and formats them as TOML."""

import json

from papayabay_bench.fleet.plan import failure_domain_of

NETWORK_PORTS = ("caller_port", "link_port", "gossip_port")
LOOPBACK_PORTS = ("target_port", "status_port")
CLUSTER = {"name": "bench", "secret": "bench-secret"}


def daemon_settings(plan, name, platform_url, ports):
    """Return the settings tables of one daemon.

    Parameters
    ----------
    plan : FleetPlan
    name : str
    platform_url : str
    ports : dict of str to int
        Ports to bind, by setting name. A missing port is set to 0, which
        lets the daemon bind any free one.
    """
    network = {key: ports.get(key, 0) for key in NETWORK_PORTS}
    loopback = {key: ports.get(key, 0) for key in LOOPBACK_PORTS}
    vm = {"name": name, "failure_domain": failure_domain_of(plan, name)}
    return {
        "vm": vm | network,
        "cluster": CLUSTER,
        "platform": platform_urls(platform_url),
        "loopback": loopback,
        "logs": {"level": plan.log_level},
        "limits": plan.limits,
        "timing": plan.timing,
    }


def platform_urls(url):
    """Return the URLs of the stand-in's table service and object store."""
    return {"table_url": f"{url}/table", "object_url": f"{url}/objects"}


def to_toml(tables):
    """Return tables of strings and integers as TOML text."""
    return "\n".join(
        line for table, values in tables.items() for line in table_lines(table, values)
    )


def table_lines(table, values):
    """Yield the TOML lines of one table.

    Values are written as JSON, whose strings and integers are valid TOML.
    """
    yield f"[{table}]"
    for key, value in values.items():
        yield f"{key} = {json.dumps(value)}"
    yield ""
