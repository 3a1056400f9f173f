"""Start and stop of the stand-in."""

import asyncio
import json
import signal
from dataclasses import dataclass

from aiohttp import web

from papayabay_bench.platform.application import PlatformStandIn
from papayabay_core.settings import PlatformSettings

LOOPBACK = "127.0.0.1"
SHUTDOWN_SECONDS = 0.5


@dataclass(slots=True)
class RunningPlatform:
    """A stand-in that is being served.

    Attributes
    ----------
    url : str
        Without a trailing slash.
    stand_in : PlatformStandIn
        Its state, for tests in the same process.
    runner : aiohttp.web.AppRunner
    """

    url: str
    stand_in: PlatformStandIn
    runner: web.AppRunner

    @property
    def table_url(self):
        """URL of the table service."""
        return f"{self.url}/table"

    @property
    def object_url(self):
        """URL of the object store."""
        return f"{self.url}/objects"

    def settings(self, timeout_ms=1_000):
        """Return the `PlatformSettings` of its clients."""
        return PlatformSettings(
            table_url=self.table_url,
            object_url=self.object_url,
            timeout_ms=timeout_ms,
        )

    async def close(self):
        """Stop serving; what it held is gone."""
        await self.runner.cleanup()


async def serve_platform(host=LOOPBACK, port=0, seed=0, **rates):
    """Serve a stand-in and return its `RunningPlatform`.

    Parameters
    ----------
    host : str
    port : int
        0 takes any free one.
    seed : int
    **rates
        `writes_per_second` and `reads_per_second` of `PlatformStandIn`.
    """
    stand_in = PlatformStandIn(seed, **rates)
    runner = web.AppRunner(
        stand_in.application(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    address = runner.addresses[0]
    return RunningPlatform(f"http://{host}:{address[1]}", stand_in, runner)


def run_platform(port=0, seed=0, host=LOOPBACK, **rates):
    """Serve a stand-in until SIGTERM or SIGINT; print its URL as JSON."""
    asyncio.run(run_until_signal(host, port, seed, rates))


async def run_until_signal(host, port, seed, rates):
    """Serve, say so in one line, and stop at a signal."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    platform = await serve_platform(host, port, seed, **rates)
    print(json.dumps({"ready": True, "url": platform.url}), flush=True)
    await stop.wait()
    await platform.close()
