"""Refusals that an upstream sends twice, the second time late.

Exits with 1 if a request that may run once ran twice, or was answered with a
status that promises that it did not run although it ran.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import wire  # noqa: E402
from standins.deployment import Deployment, configuration, main  # noqa: E402
from standins.upstream import Upstream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROMISES = {"408", "421", "429", "503"}
SHED_SHARE = 0.55
EXTRA_SHARE = 0.03
SERVICES = ("orders", "grants", "orders", "grants")
GARBLING = (2, 3)
"""Machines whose upstreams repeat refusals: one of two of each service."""
WORK_SECONDS = 0.02
DEADLINE_MS = 5_000
PERIOD_SECONDS = 0.015
"""Between two requests, which go to the two services in turn."""
SENDING_SECONDS = 95.0
SHED_SECONDS = 8.5
EXTRA_SECONDS = 5.0
PAUSE_SECONDS = 1.0


class Orders(Upstream):
    """Refuses a part of its requests, and repeats some refusals late.

    An extra answer is sent where the answer to the next request on its
    connection is expected, and has the id of the request that it repeats.
    """

    def __init__(self, *arguments, seed):
        super().__init__(*arguments)
        self.random = random.Random(seed)
        self.sheds = False
        self.garbles = False
        self.answers = 0
        self.extras = 0
        self.late = {}

    async def answer(self, request, writer):
        """Write a late extra answer, then the answer to the request."""
        if extra := self.late.pop(writer, None):
            writer.write(extra)
        await super().answer(request, writer)

    async def run(self, request, request_id, writer):
        """Run or refuse a request."""
        self.answers += self.garbles
        if self.sheds and self.random.random() < SHED_SHARE:
            self.ran.pop()
            self.record(f"{request_id} was refused: not run")
            fields = self.common(request_id) | {"X-Papayabay-Not-Run": "1"}
            refusal = wire.answer_head(503, fields, 0)
            writer.write(refusal)
            if self.garbles and self.extras + 1 <= EXTRA_SHARE * self.answers:
                self.extras += 1
                self.late[writer] = refusal
            return
        await asyncio.sleep(WORK_SECONDS)
        await super().run(request, request_id, writer)


async def order(machine, service, number, record, results):
    """Send one request on a new connection; note how it ended."""
    request_id = f"{number:016x}"
    fields = {
        "Host": f"{service}.example",
        "X-Papayabay-Request-Id": request_id,
        "X-Papayabay-Deadline-Ms": str(DEADLINE_MS),
    }
    record(f"sent {request_id} to {machine.name}")
    try:
        answer = await wire.exchange(
            machine.address("outbound"), "POST", f"/{service}/7", fields, b"order"
        )
        ending = str(answer.status)
    except (wire.Broken, OSError, TimeoutError) as error:
        ending = repr(error)
    record(f"end {request_id}: {ending}")
    results[request_id] = ending


async def repeat(switch, on_seconds, off_seconds, record):
    """Turn a disruption on and off until cancelled."""
    while True:
        switch(TROUBLE)
        record(f"{switch.__name__} {TROUBLE}")
        await asyncio.sleep(on_seconds)
        switch(False)
        record(f"{switch.__name__} False")
        await asyncio.sleep(off_seconds)


async def run(record):
    """Run the case; return the exit code."""
    names = sorted(set(SERVICES))
    routes = [
        {
            "name": f"r-{name}",
            "host": f"{name}.example",
            "prefix": f"/{name}/",
            "kind": "unsafe",
            "timeout": "5000ms",
            "targetLatency": "2000ms",
            "priority": 0,
            "service": name,
            "attempts": 2,
        }
        for name in names
    ]
    async with Deployment(SERVICES) as deployment:
        value = configuration("r5", routes, names)
        await deployment.store.put("op", "config", value)
        upstreams = []
        for number, machine in enumerate(deployment.machines):
            upstream = Orders(
                machine.service,
                f"i-{number}",
                machine.zone,
                machine.address("app"),
                machine.address("control"),
                record,
                seed=number,
            )
            await upstream.start()
            upstreams.append(upstream)
        deployment.start()
        await deployment.wait_ready()
        await asyncio.sleep(4.0)
        faulty = [upstreams[number] for number in GARBLING]

        def refusals(active):
            for upstream in upstreams:
                upstream.sheds = active

        def extra_answers(active):
            for upstream in faulty:
                upstream.garbles = active

        disruptions = [
            asyncio.create_task(repeat(refusals, SHED_SECONDS, PAUSE_SECONDS, record)),
            asyncio.create_task(
                repeat(extra_answers, EXTRA_SECONDS, PAUSE_SECONDS, record)
            ),
        ]
        results, tasks = {}, []
        ends_at = time.monotonic() + SENDING_SECONDS
        while time.monotonic() < ends_at:
            number = len(tasks)
            service = names[number % 2]
            machine = deployment.machines[number // 2 % len(deployment.machines)]
            task = order(machine, service, number + 1, record, results)
            tasks.append(asyncio.create_task(task))
            await asyncio.sleep(PERIOD_SECONDS)
        for disruption in disruptions:
            disruption.cancel()
        await asyncio.gather(*tasks)
    ran = [request_id for upstream in upstreams for request_id in upstream.ran]
    twice = sorted({name for name in ran if ran.count(name) > 1})
    refused = sorted(n for n in set(ran) if results[n] in PROMISES)
    served = sum(end == "200" for end in results.values())
    answers = sum(upstream.answers for upstream in faulty)
    extras = sum(upstream.extras for upstream in faulty)
    line = (
        f"sent {len(results)}, served {served}, extra answers {extras} of {answers}, "
        f"run twice {twice}, answered as not run though run {refused}"
    )
    record(line)
    print(line)
    if served < 100:
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
