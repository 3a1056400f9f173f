"""The stand-in's HTTP interface."""

import asyncio
import json
import random
import time
from typing import Annotated

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from papayabay_bench.platform.counters import Counters
from papayabay_bench.platform.faults import Faults, FaultSwitch
from papayabay_bench.platform.limits import (
    READS_PER_SECOND,
    WRITES_PER_SECOND,
    TokenBucket,
)
from papayabay_bench.platform.rows import ConditionUnmet, RowTable, TableFull, Write

MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_OBJECT_BYTES = 512 * 1024 * 1024
MAX_PUTS = 100
SILENCE_SECONDS = 60.0
Key = Annotated[str, Field(min_length=1, max_length=1_024)]


class PutBody(BaseModel):
    """One write of a transaction, as sent."""

    model_config = ConfigDict(extra="forbid")

    key: Key
    value: dict | None
    expected: Annotated[int, Field(ge=0)] | None = None


class TransactionBody(BaseModel):
    """A transaction, as sent."""

    model_config = ConfigDict(extra="forbid")

    puts: Annotated[list[PutBody], Field(min_length=1, max_length=MAX_PUTS)]


class ScanQuery(BaseModel):
    """The query of a scan, as sent."""

    model_config = ConfigDict(extra="forbid")

    prefix: str
    after: str = ""
    limit: Annotated[int, Field(ge=1, le=1_000)] = 100


class PlatformStandIn:
    """Table service and object store in memory, with faults.

    Parameters
    ----------
    seed : int
        Seeds which writes lose their answer.
    writes_per_second, reads_per_second : float
        Rate limits; what exceeds them is answered 429.
    """

    def __init__(
        self,
        seed=0,
        writes_per_second=WRITES_PER_SECOND,
        reads_per_second=READS_PER_SECOND,
    ):
        self.rows = RowTable()
        self.objects = {}
        self.object_bytes = 0
        self.faults = FaultSwitch()
        self.counters = Counters()
        self.write_bucket = TokenBucket(writes_per_second)
        self.read_bucket = TokenBucket(reads_per_second)
        self.random = random.Random(seed)

    def application(self):
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.get("/table/row", self.get_row),
                web.get("/table/rows", self.scan_rows),
                web.post("/table/transaction", self.write_rows),
                web.get("/objects/{name:.+}", self.get_object),
                web.put("/objects/{name:.+}", self.put_object),
                web.delete("/objects/{name:.+}", self.delete_object),
                web.get("/faults", self.get_faults),
                web.put("/faults", self.put_faults),
                web.get("/counters", self.get_counters),
            ]
        )
        return application

    async def get_row(self, request):
        """Answer one row, or null."""
        key = request.query.get("key", "")
        blocked = await self.suffer(request, "table")
        if blocked or not self.read_bucket.take():
            return blocked or self.refuse()
        version = self.rows.get(key, self.moment_seen())
        row = None if version is None else row_values(key, version)
        return self.answer_read(key, {"row": row})

    async def scan_rows(self, request):
        """Answer rows of a prefix."""
        try:
            query = ScanQuery.model_validate(dict(request.query))
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        blocked = await self.suffer(request, "table")
        if blocked or not self.read_bucket.take():
            return blocked or self.refuse()
        pairs = self.rows.scan(
            query.prefix, query.after, query.limit, self.moment_seen()
        )
        rows = [row_values(key, version) for key, version in pairs]
        return self.answer_read(query.prefix, {"rows": rows})

    async def write_rows(self, request):
        """Apply a transaction."""
        try:
            body = TransactionBody.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        blocked = await self.suffer(request, "table")
        if blocked or not self.write_bucket.take(len(body.puts)):
            return blocked or self.refuse()
        writes = [Write(put.key, put.value, put.expected) for put in body.puts]
        try:
            self.rows.apply(writes)
        except ConditionUnmet as unmet:
            self.counters.conflicts += 1
            return web.json_response({"key": str(unmet)}, status=412)
        except TableFull:
            return self.refuse()
        for write in writes:
            size = len(json.dumps(write.value))
            self.counters.count_write(write.key, size)
        return self.lose(request, "table") or web.json_response({})

    async def get_object(self, request):
        """Answer an object's content."""
        name = request.match_info["name"]
        blocked = await self.suffer(request, "object")
        if blocked or not self.read_bucket.take():
            return blocked or self.refuse()
        content = self.objects.get(name)
        self.counters.count_read(name, len(content or b""))
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def put_object(self, request):
        """Store an object."""
        name = request.match_info["name"]
        content = await request.read()
        blocked = await self.suffer(request, "object")
        if blocked or not self.write_bucket.take():
            return blocked or self.refuse()
        growth = len(content) - len(self.objects.get(name, b""))
        if self.object_bytes + growth > MAX_OBJECT_BYTES:
            return self.refuse()
        if self.random.random() < self.faults.of("object").torn:
            self.store_object(name, content[: len(content) // 2])
            return self.break_connection(request)
        self.store_object(name, content)
        return self.lose(request, "object") or web.json_response({})

    async def delete_object(self, request):
        """Remove an object."""
        name = request.match_info["name"]
        blocked = await self.suffer(request, "object")
        if blocked or not self.write_bucket.take():
            return blocked or self.refuse()
        content = self.objects.pop(name, None)
        if content is None:
            return web.Response(status=404)
        self.object_bytes -= len(content)
        self.counters.count_write(name, 0)
        return self.lose(request, "object") or web.json_response({})

    def store_object(self, name, content):
        """Replace an object."""
        self.object_bytes += len(content) - len(self.objects.get(name, b""))
        self.objects[name] = content
        self.counters.count_write(name, len(content))

    async def get_faults(self, request):
        """Answer the faults in force."""
        in_force = self.faults.in_force
        return web.json_response(
            {kind: faults.model_dump() for kind, faults in in_force.items()}
        )

    async def put_faults(self, request):
        """Replace the faults of a kind; what is not named is no fault."""
        try:
            faults = Faults.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        self.faults.set(faults)
        return web.json_response(faults.model_dump())

    async def get_counters(self, request):
        """Answer the counters."""
        return web.json_response(self.counters.values())

    async def suffer(self, request, kind):
        """Wait as the faults say; return a response if they end it."""
        await asyncio.sleep(self.faults.of(kind).slow_ms / 1_000)
        down = self.faults.of(kind).down
        if down == "none":
            return None
        self.counters.unavailable += 1
        if down == "unavailable":
            return web.Response(status=503)
        if down == "silent":
            await asyncio.sleep(SILENCE_SECONDS)
        return self.break_connection(request)

    def lose(self, request, kind):
        """Break the connection of an applied write, or return None."""
        if self.random.random() >= self.faults.of(kind).lost_answer:
            return None
        self.counters.lost += 1
        return self.break_connection(request)

    def break_connection(self, request):
        """Abort the connection; the response returned is never sent."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    def refuse(self):
        """Answer that a rate or a bound is exceeded."""
        self.counters.refused += 1
        return web.Response(status=429)

    def moment_seen(self):
        """Return the moment that reads see, or None for the present."""
        stale_ms = self.faults.of("table").stale_ms
        return time.monotonic() - stale_ms / 1_000 if stale_ms else None

    def answer_read(self, key, values):
        """Answer a read of the table and count it."""
        content = json.dumps(values).encode()
        self.counters.count_read(key, len(content))
        return web.Response(body=content, content_type="application/json")


def row_values(key, version):
    """Return a row as plain values."""
    return {"key": key, "value": version.value, "revision": version.revision}
