"""A restarted daemon forgets that its upstream is leaving."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.fleet import CannotRun, Fleet, configuration, play  # noqa: E402
from standins2.upstream import Upstream  # noqa: E402

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
LATE_SECONDS = 2.0
"""How late the heartbeat arrives that was sent before the deregistration."""
SERVES_ON_SECONDS = 9.0
"""How long the upstream serves after its deregistration."""
SLOTS = 8
WORK_SECONDS = 0.1
PERIOD_SECONDS = 0.015
"""Between two requests of the clients on the other machine."""


async def run(record, trouble):
    """Play the case; return whether the rule was kept."""
    fleet = Fleet(record)
    try:
        routes = [("/stock/", "safe", "stock")]
        places = [("stock", "hall-a"), ("stock", "hall-a")]
        await fleet.start(configuration(7, routes, ["stock"]), places)
        leaving, other = fleet.machines
        for machine in fleet.machines:
            machine.upstream = Upstream(
                machine,
                f"i-{machine.name}",
                record,
                slots=SLOTS,
                work_seconds=WORK_SECONDS,
            )
            await machine.upstream.start()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        clients = asyncio.create_task(send_requests(fleet, other))
        await asyncio.sleep(2.0)
        acknowledged_at = await leave(leaving, record, trouble)
        await asyncio.sleep(SERVES_ON_SECONDS)
        await leaving.upstream.stop()
        clients.cancel()
        return check(record, leaving, acknowledged_at)
    finally:
        fleet.stop()


async def send_requests(fleet, machine):
    """Send requests to a machine until cancelled."""
    tasks = set()
    while True:
        task = asyncio.create_task(fleet.send(machine, "/stock/a"))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(PERIOD_SECONDS)


async def leave(machine, record, trouble):
    """Let the upstream leave; return when that was acknowledged."""
    upstream = machine.upstream
    if trouble:
        upstream.late_seconds = LATE_SECONDS
        upstream.send_later(upstream.heartbeat())
        upstream.late_seconds = 0.0
        await asyncio.sleep(0.1)
    if not await upstream.deregister():
        raise CannotRun("the deregistration was not acknowledged")
    acknowledged_at = record.now()
    if trouble:
        await asyncio.sleep(0.3)
        machine.kill()
        machine.start()
    return acknowledged_at


def check(record, leaving, acknowledged_at):
    """Return whether no request reached the upstream too late."""
    starts = [at for at, found in record.of("daemon starts")]
    in_touch_from = max(starts) + CONTACT_SECONDS
    bound = max(acknowledged_at + DRAIN_SECONDS, in_touch_from)
    arrivals = [
        at
        for at, found in record.of("arrives")
        if found["instance"] == leaving.upstream.instance
    ]
    late = [at for at in arrivals if at > bound]
    record.write(
        "result",
        acknowledged_at=round(acknowledged_at, 3),
        in_touch_from=round(in_touch_from, 3),
        arrivals=len(arrivals),
        late=len(late),
        last=round(max(arrivals, default=0.0), 3),
    )
    return not late


sys.exit(play(run, HERE))
