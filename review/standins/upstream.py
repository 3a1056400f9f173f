"""A stand-in for an application upstream."""

import asyncio
import json

from standins import wire

HEARTBEAT_SECONDS = 1.5


class Upstream:
    """One incarnation of an upstream: requests, health and heartbeats.

    Parameters
    ----------
    service, instance, zone : str
    address, control : (str, int)
        Its own address, and that of its heartbeats.
    record : callable
        Writes a line about what was run.
    slots : int
    """

    def __init__(self, service, instance, zone, address, control, record, slots=36):
        self.service = service
        self.instance = instance
        self.zone = zone
        self.address = address
        self.control = control
        self.record = record
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.ran = []
        self.writers = set()
        self.server = None
        self.beats = None

    async def start(self):
        """Listen, and send heartbeats."""
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.beats = asyncio.create_task(self.send_heartbeats())

    async def crash(self):
        """End at once, with all connections."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (wire.Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        """Write the answer to one request."""
        method, path, _ = request.start
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(wire.answer_head(status, self.common(None), 0))
            return
        request_id = request.fields.get("x-papayabay-request-id", "")
        expected = request.fields.get("x-papayabay-expected-instance")
        if expected not in (None, self.instance):
            writer.write(wire.answer_head(421, self.common(request_id), 0))
            return
        self.ran.append(request_id)
        self.record(f"run {request_id} {method} {path} by {self.instance}")
        self.running += 1
        try:
            await self.run(request, request_id, writer)
        finally:
            self.running -= 1

    async def run(self, request, request_id, writer):
        """Run a request and write its answer."""
        body = f"{self.instance} ran {request.start[1]}".encode()
        writer.write(wire.answer_head(200, self.signed(request_id), len(body)) + body)

    def common(self, request_id):
        """Return the header fields of every answer."""
        fields = {
            "X-Papayabay-Upstream-Instance": self.instance,
            "X-Papayabay-Upstream-Load": f"{self.running},0,{self.slots}",
        }
        return fields | ({"X-Papayabay-Request-Id": request_id} if request_id else {})

    def signed(self, request_id):
        """Return the header fields of an answer to a request that ran."""
        signature = f"{self.instance}.{request_id}"
        fields = {"X-Papayabay-Upstream-Signature": signature}
        return self.common(request_id) | fields

    def heartbeat(self):
        """Return the bytes of the next heartbeat."""
        self.sequence += 1
        host, port = self.address
        info = {"service": self.service, "version": "v1", "zone": self.zone}
        status = {"state": self.state, "seqNo": self.sequence, "warmupLeft": "0ms"}
        values = {
            "address": f"{host}:{port}",
            "info": info | {"slots": self.slots},
            "status": status,
        }
        return json.dumps(values).encode()

    async def send_heartbeats(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.send_heartbeat(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self, content):
        """Send a heartbeat; return whether it was acknowledged."""
        return await self.post("Heartbeat", content)

    async def post(self, call, content=b""):
        """Send a call to the daemon; return whether it was acknowledged."""
        path = f"/Instances.{call}/{self.instance}"
        fields = {"Host": "control", "Content-Type": "application/json"}
        try:
            answer = await wire.exchange(
                self.control, "POST", path, fields, content, seconds=1.0
            )
        except (wire.Broken, OSError, TimeoutError):
            return False
        return answer.status // 100 == 2
