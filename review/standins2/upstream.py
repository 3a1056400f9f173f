"""A sound upstream: runs requests and sends heartbeats."""

import asyncio
import json
from contextlib import suppress

from standins2.wire import encode_answer, encode_request, exchange, read_message

REQUEST_ID = "X-Papayabay-Request-Id"
HEARTBEAT_TIMEOUT_SECONDS = 1.0
HEALTH_PATH = "/healthz"
PIECES = 20
"""In which a large body is sent."""


class Upstream:
    """One process of an upstream.

    Parameters
    ----------
    machine : Machine
        Has the addresses, the service and the zone.
    instance : str
        Id of this incarnation.
    record : Record
    slots, queue : int
    work_seconds : float
        Time that a request takes.
    heartbeat_seconds : float
    body : bytes
        Of each answer.
    body_seconds : float
        Time that the upstream takes to send a body, in pieces.
    born_ms : int or None
        Its start, stated in all messages; None where upstreams state none.

    Attributes
    ----------
    late_seconds : float
        How long heartbeats are under way from now on.
    is_leaving : bool
        Whether it has said that it leaves.
    """

    def __init__(
        self,
        machine,
        instance,
        record,
        slots=16,
        queue=32,
        work_seconds=0.02,
        heartbeat_seconds=1.5,
        body=b"done",
        body_seconds=0.0,
        born_ms=None,
    ):
        self.machine = machine
        self.instance = instance
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_seconds = work_seconds
        self.heartbeat_seconds = heartbeat_seconds
        self.body = body
        self.body_seconds = body_seconds
        self.born = {} if born_ms is None else {"born": born_ms}
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.sequence = 0
        self.late_seconds = 0.0
        self.is_leaving = False
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.beating = None

    async def start(self):
        """Listen and send heartbeats."""
        self.server = await asyncio.start_server(
            self.serve, *self.machine.address("app")
        )
        self.beating = asyncio.create_task(self.send_heartbeats())
        self.record.write("upstream starts", instance=self.instance)

    async def stop(self):
        """End at once; heartbeats that are under way still arrive."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("upstream ends", instance=self.instance)

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one after the other."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.answer(request)
                await self.send(writer, request, answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def send(self, writer, request, answer):
        """Send an answer, at the pace of a large body if it has one."""
        size = len(answer)
        if self.body_seconds and size > len(self.body):
            size = -(-len(answer) // PIECES)
        for start in range(0, len(answer), size):
            writer.write(answer[start : start + size])
            await writer.drain()
            if size < len(answer):
                await asyncio.sleep(self.body_seconds / PIECES)
        request_id = request.fields.get(REQUEST_ID.lower(), "")
        if request_id:
            self.record.write("answer sent", id=request_id, bytes=len(answer))

    async def answer(self, request):
        """Return the answer to one request as bytes."""
        method, path, _ = request.start
        request_id = request.fields.get(REQUEST_ID.lower(), "")
        load = f"{self.running},{self.waiting},{self.slots}"
        fields = {
            "X-Papayabay-Upstream-Instance": self.instance,
            "X-Papayabay-Upstream-Load": load,
        }
        if self.is_leaving:
            fields["Connection"] = "close"
        if path == HEALTH_PATH:
            return encode_answer(503 if self.is_leaving else 200, fields)
        fields[REQUEST_ID] = request_id
        expected = request.fields.get("x-papayabay-expected-instance", self.instance)
        if expected != self.instance:
            self.record.write(
                "wrong instance", id=request_id, instance=self.instance, named=expected
            )
            return encode_answer(421, fields)
        if self.waiting >= self.queue:
            return encode_answer(503, fields | {"X-Papayabay-Not-Run": "1"})
        self.record.write(
            "arrives",
            id=request_id,
            instance=self.instance,
            tenant=request.fields.get("x-papayabay-tenant", ""),
        )
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(self.work_seconds)
            self.running -= 1
        self.record.write("runs", id=request_id, instance=self.instance)
        fields["X-Papayabay-Upstream-Signature"] = f"{self.instance}.{request_id}"
        return encode_answer(200, fields, self.body)

    async def send_heartbeats(self):
        """Send a heartbeat each period until cancelled."""
        while True:
            self.send_later(self.heartbeat())
            await asyncio.sleep(self.heartbeat_seconds)

    def send_later(self, message):
        """Send a message that is under way for `late_seconds`."""
        task = asyncio.create_task(self.deliver(*message, self.late_seconds))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def deliver(self, path, values, late_seconds):
        """Deliver a message to the daemon on this machine; return success."""
        self.record.write("beat sent", path=path, state=values.get("status"))
        await asyncio.sleep(late_seconds)
        fields = {"Host": "control", "Content-Type": "application/json"}
        body = json.dumps(values).encode() if values else b""
        request = encode_request("POST", path, fields, body)
        address = self.machine.address("control")
        status = 0
        with suppress(OSError, TimeoutError):
            status = (
                await exchange(address, request, HEARTBEAT_TIMEOUT_SECONDS)
            ).status
        late = round(late_seconds, 3)
        self.record.write("beat answered", path=path, status=status, late_s=late)
        return 200 <= status < 300

    def heartbeat(self):
        """Return path and values of the next heartbeat."""
        self.sequence += 1
        host, port = self.machine.address("app")
        info = {
            "service": self.machine.service,
            "version": "v1",
            "zone": self.machine.zone,
            "slots": self.slots,
        }
        state = "draining" if self.is_leaving else "ready"
        status = {"state": state, "seqNo": self.sequence, "warmupLeft": "0ms"}
        values = {"address": f"{host}:{port}", "info": info, "status": status}
        return f"/Instances.Heartbeat/{self.instance}", values | self.born

    async def deregister(self):
        """Say that it leaves and serve on; return whether acknowledged."""
        self.is_leaving = True
        self.beating.cancel()
        path = f"/Instances.Deregister/{self.instance}"
        return await self.deliver(path, self.born, 0.0)
