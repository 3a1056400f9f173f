"""A stand-in for the platform's store of rows."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from standins import wire


class Store:
    """Rows in memory, behind the calls of the pages."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None

    async def start(self, host):
        """Listen on a free port of a host."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    async def put(self, table, key, value):
        """Write a row as the operator does."""
        content = base64.b64encode(json.dumps(value).encode()).decode()
        async with self.changed:
            self.version += 1
            self.rows[table, "", key] = (content, self.version)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        try:
            while (request := await wire.read_message(reader)) is not None:
                status, value = await self.answer(request)
                body = json.dumps(value).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(wire.answer_head(status, fields, len(body)) + body)
                await writer.drain()
        except (wire.Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        """Return status and value of the answer to a call."""
        method, target, _ = request.start
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if (method, url.path) == ("GET", "/rows-get"):
            return 200, self.get(query)
        if (method, url.path) == ("GET", "/rows-feed"):
            return await self.feed(query)
        if (method, url.path) == ("POST", "/rows-tx"):
            return await self.transact(json.loads(request.body))
        return 404, {}

    def listing(self, rows):
        """Return the body of an answer that has rows."""
        plain = [
            dict(zip(("table", "part", "key"), identity, strict=True))
            | {"value": value, "ver": version}
            for identity, (value, version) in rows
        ]
        return {"rows": plain, "hasMore": False, "ver": self.version, "now": "1ms"}

    def get(self, query):
        """Return the rows of a range of keys."""
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "\U0010ffff")
        found = sorted(
            item
            for item in self.rows.items()
            if item[0][:2] == (table, part) and first <= item[0][2] < end
        )
        return self.listing(found[: int(query.get("limit", 500))])

    async def feed(self, query):
        """Return the rows changed since a version; wait for the first."""
        table, after = query["table"], int(query["after"])

        def news():
            rows = self.rows.items()
            found = [row for row in rows if row[0][0] == table and row[1][1] > after]
            return sorted(found, key=lambda row: row[1][1])

        async with self.changed:
            try:
                async with asyncio.timeout(int(query.get("waitMs", 0)) / 1_000):
                    await self.changed.wait_for(news)
            except TimeoutError:
                pass
            return 200, self.listing(news())

    async def transact(self, call):
        """Apply all writes of a call, or none."""
        async with self.changed:
            for row in call.get("expected", ()):
                identity = row["table"], row.get("part", ""), row["key"]
                if self.rows.get(identity, ("", 0))[1] != row["ver"]:
                    return 412, {"rows": []}
            self.version += 1
            for row in call.get("puts", ()):
                identity = row["table"], row.get("part", ""), row["key"]
                self.rows[identity] = (row["value"], self.version)
            for row in call.get("deletes", ()):
                self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now": "1ms"}
