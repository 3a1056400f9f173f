"""A process that hosts several stand-in targets and their control door."""

import asyncio
import json
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
import uvloop
from aiohttp import web
from pydantic import ValidationError

from papayabay_bench.targets.records import RecordFile
from papayabay_bench.targets.server import HOST, StandInTarget
from papayabay_bench.targets.specification import HostSpec

FLUSH_PERIOD = 0.2
OUTGOING_CONNECTIONS = 4_096


class TargetHost:
    """The targets of one process.

    Parameters
    ----------
    spec : HostSpec
    """

    def __init__(self, spec):
        self.spec = spec
        self.targets = {}
        self.records = RecordFile(spec.records_path)
        self.control_url = ""
        self.exits = AsyncExitStack()
        self.tasks = []

    async def __aenter__(self):
        """Start all targets; their announcements go on behind."""
        self.exits.callback(self.records.close)
        connector = aiohttp.TCPConnector(limit=OUTGOING_CONNECTIONS)
        session = aiohttp.ClientSession(connector=connector)
        await self.exits.enter_async_context(session)
        for spec in self.spec.targets:
            target = StandInTarget(spec, session, self.records)
            await target.start()
            self.exits.push_async_callback(target.stop)
            self.targets[spec.name] = target
        await self.open_control()
        self.begin(self.flush_records())
        for target in self.targets.values():
            self.begin(target.announcer.run())
        return self

    async def __aexit__(self, *failure):
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.exits.aclose()

    def begin(self, work):
        """Run work until the host ends."""
        self.tasks.append(asyncio.create_task(work))

    async def flush_records(self):
        """Let readers see records soon."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD)
            self.records.flush()

    async def open_control(self):
        """Listen for switches."""
        app = web.Application()
        app.router.add_get("/targets", self.show)
        app.router.add_put("/targets/{name}/control", self.control)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.exits.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, HOST, self.spec.control_port)
        await site.start()
        port = runner.addresses[0][1]
        self.control_url = f"http://{HOST}:{port}"

    async def show(self, request):
        """Answer with the state of every target."""
        return web.json_response([target.state() for target in self.targets.values()])

    async def control(self, request):
        """Switch faults of one target."""
        target = self.targets.get(request.match_info["name"])
        if target is None:
            return web.Response(status=404, text="no such target")
        try:
            await target.switch(await request.json())
        except (ValidationError, ValueError, TypeError) as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(target.state())

    def ready_line(self):
        """Return the line that says the targets listen."""
        addresses = {name: target.address for name, target in self.targets.items()}
        return json.dumps(
            {"ready": True, "control_url": self.control_url, "targets": addresses}
        )


async def serve_targets(spec):
    """Host targets until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with TargetHost(spec) as host:
        print(host.ready_line(), flush=True)
        await stopped.wait()


def run_targets(path):
    """Host the targets that a JSON file describes; blocks."""
    spec = HostSpec.model_validate_json(Path(path).read_text())
    uvloop.run(serve_targets(spec))
