"""A version with a weight above 1000 never comes in force at any daemon."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.fleet import CONTRACTS, Fleet, configuration, play  # noqa: E402
from standins2.upstream import Upstream  # noqa: E402

CONTACT_SECONDS = 3.0
CONFIG_SECONDS = 2.5
REVOKE_SECONDS = 5.0
JUDGED_SECONDS = 8.0
PERIOD_SECONDS = 0.1
BOUNDS = """
quotaWindow = "5s"
quotaOverage = 0.1
quotaSlack = 20
revokeStrict = true
revoke = "5000ms"
"""
KEPT_KEY, REVOKED_KEY = "maj3nr26tta828m82thh", "kmgjqnirth5mgjy5rcpi"
SERVICES = ["stock", "spare"]
WEIGHTS = os.environ.get("WEIGHTS", "9950,50")
"""One request in two hundred goes to the other service. `WEIGHTS=995,5` plays
the same change with smaller numbers."""
SPLIT = [
    {"service": service, "weight": int(weight)}
    for service, weight in zip(SERVICES, WEIGHTS.split(","), strict=True)
]


def version(number, prefixes, keys):
    """Return a version with routes to `stock` and one tenant."""
    tenant = {"name": "pulo780", "apiKeys": keys, "priority": 1}
    routes = [(prefix, "safe", "stock") for prefix in prefixes]
    return configuration(number, routes, SERVICES, tenants=[tenant])


async def run(record, trouble):
    """Play the case; return whether the rule was kept."""
    contracts = CONTRACTS.replace("]", ',"keys","quota"]')
    fleet = Fleet(record, contracts, BOUNDS)
    try:
        first = version(7, ["/a/", "/old/"], [KEPT_KEY, REVOKED_KEY])
        second = version(12, ["/a/", "/new/"], [KEPT_KEY])
        route = second["routes"][0]
        del route["service"]
        route["weightedClusters"] = SPLIT
        await fleet.start(first, [("stock", "hall-a"), ("spare", "hall-a")])
        for machine in fleet.machines:
            machine.upstream = Upstream(machine, f"i-{machine.name}", record)
            await machine.upstream.start()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        clients = asyncio.create_task(send_requests(fleet))
        await asyncio.sleep(2.0)
        changed_at = None
        if trouble:
            await fleet.store.put("op", "config", second)
            changed_at = record.now()
            record.write("version acknowledged", version=second["version"])
        await asyncio.sleep(REVOKE_SECONDS + JUDGED_SECONDS)
        clients.cancel()
        await asyncio.sleep(1.0)
        return check(record, changed_at)
    finally:
        fleet.stop()


async def send_requests(fleet):
    """Send requests on all routes with both keys until cancelled."""
    kinds = [("/a/", KEPT_KEY), ("/a/", REVOKED_KEY)]
    kinds += [("/old/", KEPT_KEY), ("/new/", KEPT_KEY)]
    tasks = set()
    while True:
        for machine in fleet.machines:
            for prefix, key in kinds:
                path = f"{prefix}{'revoked' if key == REVOKED_KEY else 'kept'}"
                task = asyncio.create_task(fleet.send(machine, path, key=key))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(PERIOD_SECONDS)


def check(record, changed_at):
    """Return whether no request was handled by the older version."""
    if changed_at is None:
        changed_at = float("inf")
    ran = {found["id"] for _, found in record.of("runs")}
    status = {found["id"]: found["status"] for _, found in record.of("answered")}
    refused_new = ran_old = ran_revoked = late = 0
    for at, found in record.of("sent"):
        request_id, path = found["id"], found["path"]
        if at > changed_at + CONFIG_SECONDS:
            late += 1
            refused_new += path == "/new/kept" and status.get(request_id) == 404
            ran_old += path == "/old/kept" and request_id in ran
        if at > changed_at + REVOKE_SECONDS:
            ran_revoked += path == "/a/revoked" and request_id in ran
    record.write(
        "result",
        changed_at=changed_at,
        sent_after_config=late,
        new_route_refused_404=refused_new,
        dropped_route_ran=ran_old,
        revoked_key_ran_after_revoke=ran_revoked,
    )
    return not (refused_new or ran_old or ran_revoked)


sys.exit(play(run, HERE))
