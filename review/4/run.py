"""A stopped daemon cuts off the large answers that it is passing on."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.fleet import Fleet, configuration, play  # noqa: E402
from standins2.upstream import Upstream  # noqa: E402

CONTACT_SECONDS = 3.0
GRACE_SECONDS = 6.0
DEADLINE_MS = 4_000
BODY = bytes(1_000_000)
WORK_SECONDS = 0.2
BODY_SECONDS = 2.5
PERIOD_SECONDS = 0.1
READY_SECONDS = 1.0
"""Between two readiness checks of the platform."""


async def run(record, trouble):
    """Play the case; return whether the rule was kept."""
    fleet = Fleet(record)
    try:
        routes = [("/stock/", "safe", "stock"), ("/docs/", "download", "docs")]
        values = configuration(7, routes, ["stock", "docs"], timeout="4s")
        await fleet.start(values, [("stock", "hall-a"), ("docs", "hall-a")])
        entry, behind = fleet.machines
        entry.upstream = Upstream(entry, "i-stock", record)
        behind.upstream = Upstream(
            behind,
            "i-docs",
            record,
            slots=36,
            work_seconds=WORK_SECONDS,
            body=BODY,
            body_seconds=BODY_SECONDS,
        )
        for machine in fleet.machines:
            await machine.upstream.start()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        clients = asyncio.create_task(send_requests(fleet, entry))
        await asyncio.sleep(4.0)
        stopped_at = record.now()
        if trouble:
            entry.signal(signal.SIGTERM)
            ended = asyncio.create_task(entry.wait_end())
            await asyncio.sleep(GRACE_SECONDS)
            if not ended.done():
                entry.kill()
        else:
            await asyncio.sleep(GRACE_SECONDS)
        clients.cancel()
        await asyncio.sleep(DEADLINE_MS / 1_000)
        return check(record, stopped_at)
    finally:
        fleet.stop()


async def send_requests(fleet, machine):
    """Send requests until two readiness checks in a row have failed."""
    tasks = set()
    misses = 0
    checked_at = 0.0
    while misses < 2:
        if fleet.record.now() - checked_at >= READY_SECONDS:
            checked_at = fleet.record.now()
            is_ready = await machine.is_ready()
            misses = 0 if is_ready else misses + 1
            fleet.record.write("ready", machine=machine.name, answer=is_ready)
        sending = fleet.send(machine, "/docs/a", deadline_ms=DEADLINE_MS)
        task = asyncio.create_task(sending)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(PERIOD_SECONDS)
    await asyncio.gather(*tasks)


def check(record, stopped_at):
    """Return whether no request was lost that the rule protects."""
    arrived = {found["id"] for _, found in record.of("arrives")}
    sent = {found["id"]: at for at, found in record.of("sent")}
    lost = []
    for at, found in record.of("answered"):
        sent_at = sent[found["id"]]
        if found["status"] or found["id"] not in arrived:
            continue
        in_time = at - sent_at < DEADLINE_MS / 1_000
        # Its upstream would have ended before the last sixth of `grace`.
        ends_at = sent_at + WORK_SECONDS + BODY_SECONDS + 0.3
        before_end = ends_at < stopped_at + GRACE_SECONDS * 5 / 6
        if in_time and before_end and at > stopped_at:
            lost.append((found["id"], round(sent_at, 3), round(at, 3)))
            record.write("lost", id=found["id"], after_s=round(at - sent_at, 3))
    record.write(
        "result",
        stopped_at=round(stopped_at, 3),
        sent=len(sent),
        answered_200=sum(f["status"] == 200 for _, f in record.of("answered")),
        lost=len(lost),
    )
    return not lost


sys.exit(play(run, HERE))
