"""A bare relay: what one more HTTP hop costs without any decision.

Our own baseline for the daemons, on the same libraries and event loop. It
passes method, path, header fields and whole bodies on, and nothing else.
"""

import asyncio
import json
import signal

import aiohttp
from aiohttp import web

HOST = "127.0.0.1"
NOT_PASSED_ON = frozenset({"Connection", "Content-Length", "Transfer-Encoding"})


class Relay:
    """Relays every request to one URL.

    Parameters
    ----------
    upstream : str
        Scheme, host and port.
    """

    def __init__(self, upstream):
        self.upstream = upstream
        self.session = None
        self.runner = None
        self.url = ""

    async def start(self):
        """Listen on any free port."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )
        server = web.Server(self.handle, access_log=None)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.url = f"http://{HOST}:{self.runner.addresses[0][1]}"

    async def close(self):
        """Close all connections."""
        await self.runner.cleanup()
        await self.session.close()

    async def handle(self, request):
        """Relay one request."""
        body = await request.read() if request.body_exists else None
        async with self.session.request(
            request.method,
            self.upstream + request.raw_path,
            headers=passed_on(request.headers),
            data=body,
            allow_redirects=False,
        ) as answer:
            return web.Response(
                status=answer.status,
                headers=passed_on(answer.headers),
                body=await answer.read(),
            )


def passed_on(headers):
    """Return the fields that travel on."""
    return [item for item in headers.items() if item[0] not in NOT_PASSED_ON]


async def serve(upstream):
    """Relay until SIGTERM; print the URL first."""
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    relay = Relay(upstream)
    await relay.start()
    print(json.dumps({"ready": True, "url": relay.url}), flush=True)
    await stopping.wait()
    await relay.close()
