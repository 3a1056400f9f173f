"""A version of the configuration with weights above 1,000 is acknowledged.

Exits with 1 if requests that were sent later than `config` after the
acknowledgement are handled as only the older version allows.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import wire  # noqa: E402
from standins.deployment import Deployment, configuration, main  # noqa: E402
from standins.upstream import Upstream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ("depot", "orders", "stock", "annex")
WEIGHTS = (9_000, 1_000) if TROUBLE else (90, 10)
CONFIG_SECONDS = 2.0
SENDING_SECONDS = 20.0
CHANGE_AT_SECONDS = 5.0
PERIOD_SECONDS = 0.05
DEADLINE_MS = 5_000


def route(name, prefix, target):
    """Return a route; its target is a service, or weights by service."""
    common = {
        "name": name,
        "host": "orders.example",
        "prefix": prefix,
        "kind": "unsafe",
        "timeout": "5000ms",
        "targetLatency": "2000ms",
        "priority": 0,
        "attempts": 2,
    }
    if isinstance(target, str):
        return common | {"service": target}
    parts = [{"service": name, "weight": weight} for name, weight in target]
    return common | {"weightedClusters": parts}


async def send(machine, path, number, record):
    """Send one request; return its id, time and the status."""
    request_id = f"{number:016x}"
    fields = {
        "Host": "orders.example",
        "X-Papayabay-Request-Id": request_id,
        "X-Papayabay-Deadline-Ms": str(DEADLINE_MS),
    }
    sent_at = time.monotonic()
    record(f"sent {request_id} {path} to {machine.name}")
    try:
        answer = await wire.exchange(
            machine.address("outbound"), "POST", path, fields, b"order"
        )
        ending = str(answer.status)
    except (wire.Broken, OSError, TimeoutError) as error:
        ending = repr(error)
    record(f"end {request_id}: {ending}")
    return request_id, path, sent_at, ending


async def run(record):
    """Run the case; return the exit code."""
    names = sorted(set(SERVICES))
    older = [
        route("r-orders", "/orders/", "depot"),
        route("r-stock", "/stock/", "stock"),
    ]
    newer = [
        route("r-orders", "/orders/", "orders"),
        route("r-new", "/new/", "orders"),
        route("r-stock", "/stock/", zip(("stock", "annex"), WEIGHTS, strict=True)),
    ]
    async with Deployment(SERVICES) as deployment:
        await deployment.store.put("op", "config", configuration("r5", older, names))
        upstreams = {}
        for number, machine in enumerate(deployment.machines):
            upstream = Upstream(
                machine.service,
                f"i-{number}",
                machine.zone,
                machine.address("app"),
                machine.address("control"),
                record,
            )
            await upstream.start()
            upstreams[machine.service] = upstream
        deployment.start()
        await deployment.wait_ready()
        await asyncio.sleep(4.0)
        changed_at = None
        tasks = []
        for step in range(int(SENDING_SECONDS / PERIOD_SECONDS)):
            if changed_at is None and step * PERIOD_SECONDS >= CHANGE_AT_SECONDS:
                value = configuration("r7", newer, names)
                await deployment.store.put("op", "config", value)
                changed_at = time.monotonic()
                record("r7 acknowledged")
            machine = deployment.machines[step % len(deployment.machines)]
            path = ("/orders/7", "/new/7", "/stock/7")[step % 3]
            task = send(machine, path, step + 1, record)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(PERIOD_SECONDS)
        results = await asyncio.gather(*tasks)
    later = [one for one in results if one[2] > changed_at + CONFIG_SECONDS]
    old = set(upstreams["depot"].ran)
    stale = [one for one in later if one[0] in old]
    missing = [one for one in later if one[1] == "/new/7" and one[3] == "404"]
    line = (
        f"sent later {len(later)}, run by the old service {len(stale)}, "
        f"new route refused with 404 {len(missing)}"
    )
    record(line)
    print(line)
    if len(later) < 50:
        return 2
    return 1 if stale or missing else 0


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
