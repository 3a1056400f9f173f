"""A stand-in for an upstream that sends heartbeats and answers requests."""

import asyncio

import aiohttp
from aiohttp import web

HEARTBEAT_PERIOD_S = 0.1
HOLD_S = 30.0
MAX_BUFFERED = 1_000_000
PART = b"x" * 65_536
ENDLESS = {
    "endless head": (b"HTTP/1.1 200 OK\r\nFIELDSX-Part: ", PART),
    "endless body": (
        b"HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + PART + b"\r\n",
    ),
}
"""The beginning of an answer, and bytes that never end it."""


class Upstream:
    """One upstream of a service, run within the test's process.

    Attributes
    ----------
    executed : list of (str, dict)
        Path and header fields of each request that it ran.
    may_send_heartbeats : asyncio.Event
        Heartbeats are sent while it is set.
    may_answer : asyncio.Event
        Requests wait for it before they are answered.
    drain_acknowledged : asyncio.Event
        Set once a daemon has accepted a heartbeat with the state draining.
    faults : list of str
        Faults of the next requests, one each: ``reject`` refuses it before it
        runs; the others run it and then ``drop`` the connection, answer with
        bytes that are no HTTP (``garble``), ``truncate`` the body, send an
        ``extra`` answer, answer with the status 000 (``no status``), or send
        an ``endless head`` or an ``endless body`` until the caller closes.
    work_seconds : callable
        Returns how long the next request runs.
    extra_fields : dict of str to str
        Header fields of all answers, also of refusals and health answers.
    """

    def __init__(self, service, host, port, control_port, instance):
        self.service = service
        self.host = host
        self.port = port
        self.control = f"http://{host}:{control_port}"
        self.instance = instance
        self.slots = 4
        self.state = "ready"
        self.sequence = 0
        self.executed = []
        self.faults = []
        self.extra_fields = {}
        self.work_seconds = lambda: 0.0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.drain_acknowledged = asyncio.Event()
        self.may_send_heartbeats = asyncio.Event()
        self.may_send_heartbeats.set()

    async def start(self):
        application = web.Application()
        application.on_response_prepare.append(self.add_extra_fields)
        application.router.add_route("*", "/{tail:.*}", self.answer)
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, self.port).start()
        self.task = asyncio.create_task(self.run_heartbeats())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.runner.cleanup()

    async def answer(self, request):
        fields = {name.lower(): value for name, value in request.headers.items()}
        if request.path == "/healthz":
            return self.health_response()
        request_id = fields["x-papayabay-request-id"]
        echoed = {"X-Papayabay-Request-Id": request_id}
        if fields["x-papayabay-expected-instance"] != self.instance:
            return web.Response(status=421, headers=echoed)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "reject":
            refusal = echoed | {"X-Papayabay-Not-Run": "full"}
            return web.Response(status=503, headers=refusal)
        self.executed.append((request.path_qs, fields))
        await asyncio.sleep(self.work_seconds())
        await self.may_answer.wait()
        text = f"{self.instance} ran {request.path_qs}"
        headers = echoed | {"X-Papayabay-Upstream-Signature": f"signed-{self.instance}"}
        if fault:
            return await self.answer_faultily(request, fault, headers, text.encode())
        return web.Response(text=text, headers=headers)

    async def answer_faultily(self, request, fault, headers, body):
        """Answer with the bytes of a fault, and close the connection."""
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
        complete = head.encode() + body
        transport = request.transport
        if fault in ENDLESS:
            await self.send_endlessly(transport, fault, fields)
            return web.Response()
        transport.write(
            {
                "drop": b"",
                "garble": b"\x16\x03\x01 this is no answer\r\n\r\n",
                "truncate": complete[:-3],
                "extra": complete + complete,
                "no status": complete.replace(b"200 OK", b"000 OK"),
            }[fault]
        )
        # Lets the bytes arrive before the connection is closed; a reset could
        # discard them, which is another fault. After an answer without a
        # status, the connection stays open, as its end would end the wait.
        await asyncio.sleep(HOLD_S if fault == "no status" else 0.05)
        transport.close()
        return web.Response()

    async def send_endlessly(self, transport, fault, fields):
        """Send a head or a body without end until the caller closes."""
        start, part = ENDLESS[fault]
        transport.write(start.replace(b"FIELDS", fields.encode()))
        while not transport.is_closing():
            if transport.get_write_buffer_size() < MAX_BUFFERED:
                transport.write(part)
            await asyncio.sleep(0.001)

    async def add_extra_fields(self, request, response):
        response.headers.update(self.extra_fields)

    def health_response(self):
        return web.Response(
            status=200 if self.state == "ready" else 503,
            headers={
                "X-Papayabay-Upstream-Instance": self.instance,
                "X-Papayabay-Upstream-Load": f"0,0,{self.slots}",
            },
        )

    async def run_heartbeats(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await self.may_send_heartbeats.wait()
                await self.send_heartbeat(session)
                await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "address": f"{self.host}:{self.port}",
            "info": {
                "service": self.service,
                "zone": "a",
                "slots": self.slots,
                "version": "v1",
            },
            "status": {
                "state": self.state,
                "seqNo": self.sequence,
                "warmupLeft": "0ms",
            },
        }

    async def deregister(self, session):
        """Deregister and go on to serve; return the status."""
        self.state = "leaving"
        self.may_send_heartbeats.clear()
        url = f"{self.control}/Instances.Deregister/{self.instance}"
        async with session.post(url) as response:
            return response.status

    async def send_heartbeat(self, session, heartbeat=None):
        """Send one heartbeat; return the status, None without an answer."""
        heartbeat = heartbeat or self.heartbeat()
        url = f"{self.control}/Instances.Heartbeat/{self.instance}"
        sent_state = self.state
        try:
            async with session.post(url, json=heartbeat) as response:
                if response.status == 200 and sent_state == "draining":
                    self.drain_acknowledged.set()
                return response.status
        except aiohttp.ClientError:
            return None
