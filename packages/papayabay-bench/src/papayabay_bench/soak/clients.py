"""Clients of a soak: they pipeline, send slowly, give up and come back."""

import asyncio
import random
from dataclasses import dataclass, replace

from platform_standins.deployment import (
    PROMISES,
    request_fields,
    retry_after_seconds,
    route_prefix,
)
from platform_standins.messages import BrokenMessage, encode_request, read_message

UNSAFE_SHARE = 0.7
KEPT_SHARE = 0.5
GIVE_UP_SHARE = 0.08
BODY_SHARE = 0.5
BODY_BYTES = (1, 3_000)
LARGE_SHARE = 0.08
LARGE_BYTES = (70_000, 300_000)
"""Beyond what a daemon keeps in memory of one body: it is streamed."""
CHUNKED_SHARE = 0.4
OBEDIENT_SHARE = 0.8
"""Share of the refused requests whose retry honours Retry-After."""
MAX_RETRIES = 2
MAX_DEPTH = 3
"""Most requests that are sent on a connection before the first answer."""
DEADLINES_MS = (400, 5_000)
CONNECT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Request:
    """A request to send.

    Attributes
    ----------
    deadline_ms : int
    is_chunked : bool
        Whether the body is sent in chunks with pauses.
    is_unsafe : bool
        Whether it may run once at most.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    deadline_ms: int
    is_chunked: bool
    is_unsafe: bool

    def parts(self):
        """Yield the bytes of the request as they are sent."""
        fields = request_fields(self.request_id, self.deadline_ms)
        if not self.is_chunked:
            yield encode_request(self.method, self.path, fields, self.body)
            return
        framing = {"Transfer-Encoding": "chunked"}
        yield encode_request(self.method, self.path, fields | framing)
        half = len(self.body) // 2
        for part in filter(None, (self.body[:half], self.body[half:])):
            yield b"%x\r\n%b\r\n" % (len(part), part)
        yield b"0\r\n\r\n"


class Clients:
    """Sends requests to the daemons of all VMs.

    Parameters
    ----------
    settings : SoakSettings
    vms : list of Vm
    services : tuple of str
    history : History
    """

    def __init__(self, settings, vms, services, history):
        self.settings = settings
        self.vms = vms
        self.services = services
        self.history = history
        self.random = random.Random(settings.seed + 1)
        self.kept = {}
        self.number = 0

    async def run(self):
        """Send requests at the rate of the settings, then await the last."""
        loop = asyncio.get_running_loop()
        until = loop.time() + self.settings.seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(self.send_batch())
                pause = self.random.expovariate(self.settings.rate / 2.0)
                await asyncio.sleep(pause)
        for connections in self.kept.values():
            for _, writer in connections:
                writer.transport.abort()

    def draw_request(self):
        """Return a new request."""
        chance = self.random.random
        self.number += 1
        is_unsafe = chance() < UNSAFE_SHARE
        service = self.random.choice(self.services)
        request_id = f"{self.settings.seed:x}-{self.number:x}"
        prefix = route_prefix(service, "unsafe" if is_unsafe else "safe")
        has_body = is_unsafe and chance() < BODY_SHARE
        bounds = LARGE_BYTES if chance() < LARGE_SHARE else BODY_BYTES
        size = self.random.randrange(*bounds) if has_body else 0
        return Request(
            request_id,
            "POST" if has_body else "DELETE" if is_unsafe else "GET",
            f"{prefix}{request_id}",
            self.random.randbytes(size),
            self.random.randrange(*DEADLINES_MS),
            has_body and chance() < CHUNKED_SHARE,
            is_unsafe,
        )

    async def send_batch(self):
        """Send one request, or some of them pipelined, on one connection."""
        depth = 1
        if self.random.random() < KEPT_SHARE:
            depth = self.random.randint(1, MAX_DEPTH)
        requests = [self.draw_request() for _ in range(depth)]
        vm = self.random.choice(self.vms)
        await self.send_requests(vm, requests, MAX_RETRIES)

    async def send_requests(self, vm, requests, retries):
        """Send requests on a connection; refused ones come back alone."""
        for request in requests:
            self.history.record_sent(
                request.request_id,
                request.method,
                request.path,
                request.body,
                request.is_unsafe,
            )
        gives_up = self.random.random() < GIVE_UP_SHARE
        longest = max(request.deadline_ms for request in requests) / 1_000
        limit = longest * self.random.random() if gives_up else longest
        answers = await self.exchange(vm, requests, limit)
        if not retries:
            return
        async with asyncio.TaskGroup() as group:
            for request, answer in zip(requests, answers, strict=False):
                if answer.status in PROMISES:
                    group.create_task(self.come_back(request, answer, retries - 1))

    async def come_back(self, request, answer, retries):
        """Send a refused request again, with a new id."""
        wait = retry_after_seconds(answer)
        if wait > request.deadline_ms / 3_000:
            return
        if self.random.random() < OBEDIENT_SHARE:
            await asyncio.sleep(wait)
        self.number += 1
        request_id = f"{self.settings.seed:x}-{self.number:x}"
        prefix = request.path.removesuffix(request.request_id)
        again = replace(request, request_id=request_id, path=f"{prefix}{request_id}")
        vm = self.random.choice(self.vms)
        await self.send_requests(vm, [again], retries)

    async def exchange(self, vm, requests, seconds):
        """Send requests and return the answers up to the first failure."""
        answers = []
        address = vm.place.address("outbound")
        connection = None
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                connection = await self.connect(address)
            reader, writer = connection
            async with asyncio.timeout(seconds):
                await self.write(writer, requests)
                for request in requests:
                    answer = await read_message(reader)
                    if answer is None:
                        raise BrokenMessage("closed without an answer")
                    self.history.record_answer(request.request_id, answer)
                    answers.append(answer)
                    if answer.fields.get("connection") == "close":
                        raise BrokenMessage("closed after an answer")
        except (BrokenMessage, OSError, TimeoutError) as error:
            for request in requests[len(answers) :]:
                self.history.record_failure(request.request_id, repr(error))
            if connection is not None:
                connection[1].transport.abort()
            return answers
        self.kept.setdefault(address, []).append(connection)
        return answers

    async def connect(self, address):
        """Return a kept connection or a new one."""
        kept = self.kept.get(address)
        if kept and self.random.random() < KEPT_SHARE:
            return kept.pop()
        return await asyncio.open_connection(*address)

    async def write(self, writer, requests):
        """Write requests, with pauses between their parts."""
        for request in requests:
            for number, part in enumerate(request.parts()):
                if number:
                    await asyncio.sleep(self.random.uniform(0.0, 0.2))
                writer.write(part)
                await writer.drain()
