"""Writes daemons' settings files."""

import json

from papayabay_bench.fleet.plan import domain_of

VM_PORTS = ("caller_port", "link_port", "gossip_port")
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
        Ports that the daemon had before; empty at its first start.
    """
    network = {key: ports.get(key, 0) for key in VM_PORTS}
    loopback = {key: ports.get(key, 0) for key in LOOPBACK_PORTS}
    vm = {"name": name, "failure_domain": domain_of(plan, name)}
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
    """Return where the stand-in at a URL offers its two services."""
    return {"table_url": f"{url}/table", "object_url": f"{url}/objects"}


def to_toml(tables):
    """Return tables of plain strings and integers as TOML."""
    return "\n".join(
        line for table, values in tables.items() for line in table_lines(table, values)
    )


def table_lines(table, values):
    """Yield the lines of one table; JSON strings are TOML strings too."""
    yield f"[{table}]"
    for key, value in values.items():
        yield f"{key} = {json.dumps(value)}"
    yield ""
