"""A stand-in of an upstream: it reports itself and answers, signed."""

import asyncio

import aiohttp
from aiohttp import web

HEARTBEAT_SECONDS = 0.1


class Upstream:
    """One process of a service, within the test's own process.

    Attributes
    ----------
    seen : list of (str, dict)
        Path and header fields of each request that it ran.
    beating : asyncio.Event
        Heartbeats are sent while it is set.
    hold : asyncio.Event
        Requests wait for it before they are answered.
    faults : list of str
        What goes wrong with the next requests, one each: ``reject`` it before
        it runs, run it and ``drop`` the connection, answer with ``garble``
        that is no HTTP, ``truncate`` the body, send an ``extra`` answer.
    """

    def __init__(self, service, host, port, control_port, instance):
        self.service = service
        self.host = host
        self.port = port
        self.control = f"http://{host}:{control_port}"
        self.instance = instance
        self.state = "ready"
        self.sequence = 0
        self.seen = []
        self.faults = []
        self.hold = asyncio.Event()
        self.hold.set()
        self.acknowledged = asyncio.Event()
        self.beating = asyncio.Event()
        self.beating.set()

    async def start(self):
        application = web.Application()
        application.router.add_route("*", "/{tail:.*}", self.answer)
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, self.port).start()
        self.task = asyncio.create_task(self.report())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.runner.cleanup()

    async def answer(self, request):
        fields = {name.lower(): value for name, value in request.headers.items()}
        if request.path == "/healthz":
            return self.health()
        if fields["x-papayabay-expected-instance"] != self.instance:
            return web.Response(status=421)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "reject":
            return web.Response(status=503, headers={"X-Papayabay-Not-Run": "full"})
        self.seen.append((request.path_qs, fields))
        await self.hold.wait()
        text = f"{self.instance} ran {request.path_qs}"
        headers = {
            "X-Papayabay-Request-Id": fields["x-papayabay-request-id"],
            "X-Papayabay-Upstream-Signature": f"signed-{self.instance}",
        }
        if fault:
            return await self.spoil(request, fault, headers, text.encode())
        return web.Response(text=text, headers=headers)

    async def spoil(self, request, fault, headers, body):
        """Answer with bytes that are not the whole and only answer."""
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
        whole = head.encode() + body
        transport = request.transport
        transport.write(
            {
                "drop": b"",
                "garble": b"\x16\x03\x01 this is no answer\r\n\r\n",
                "truncate": whole[:-3],
                "extra": whole + whole,
            }[fault]
        )
        # Sent before the connection ends: what is lost with a reset would be
        # another fault.
        await asyncio.sleep(0.05)
        transport.close()
        return web.Response()

    def health(self):
        return web.Response(
            status=200 if self.state == "ready" else 503,
            headers={
                "X-Papayabay-Upstream-Instance": self.instance,
                "X-Papayabay-Upstream-Load": "0,0,4",
            },
        )

    async def report(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await self.beating.wait()
                await self.beat(session)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self, session):
        self.sequence += 1
        heartbeat = {
            "address": f"{self.host}:{self.port}",
            "info": {"service": self.service, "zone": "a", "slots": 4, "version": "v1"},
            "status": {
                "state": self.state,
                "seqNo": self.sequence,
                "warmupLeft": "0ms",
            },
        }
        url = f"{self.control}/Instances.Heartbeat/{self.instance}"
        said = self.state
        try:
            async with session.post(url, json=heartbeat) as response:
                if response.status == 200 and said == "draining":
                    self.acknowledged.set()
        except aiohttp.ClientError:
            pass
