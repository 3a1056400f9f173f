"""The platform's metadata store, in memory: rows, feed, transactions."""

import asyncio
import base64
import json
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

from standins2.wire import encode_answer, read_message

LAST_KEY = "\U0010ffff"
PAGE_ROWS = 500


class Store:
    """Rows behind the calls of the protocol page.

    Attributes
    ----------
    address : tuple
        Host and port.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None

    async def start(self, host):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def put(self, table, key, values):
        """Write a row as the operator does."""
        content = base64.b64encode(json.dumps(values).encode()).decode()
        async with self.changed:
            self.version += 1
            self.rows[table, "", key] = (content, self.version)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        with suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                status, values = await self.answer(request)
                fields = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, fields, json.dumps(values).encode()))
                await writer.drain()
        writer.close()

    async def answer(self, request):
        """Return status and values of the answer to a call."""
        url = urlsplit(request.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            return 200, self.listing(self.range_of(query))
        if url.path == "/rows-feed":
            return 200, await self.wait_for_changes(query)
        if url.path == "/rows-tx":
            return await self.apply(json.loads(request.body))
        return 404, {}

    def listing(self, rows):
        """Return the values of an answer with rows."""
        names = ("table", "part", "key")
        plain = [
            dict(zip(names, identity, strict=True)) | {"value": value, "ver": version}
            for identity, (value, version) in rows
        ]
        return {"rows": plain, "hasMore": False, "ver": self.version, "now": "1ms"}

    def range_of(self, query):
        """Return the rows of a range of keys, in their order."""
        place = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", LAST_KEY)
        found = sorted(
            item
            for item in self.rows.items()
            if item[0][:2] == place and first <= item[0][2] < end
        )
        return found[: int(query.get("limit", PAGE_ROWS))]

    async def wait_for_changes(self, query):
        """Return the rows changed since a version; wait for the first."""
        table, after = query["table"], int(query["after"])

        def changed_rows():
            rows = self.rows.items()
            found = [row for row in rows if row[0][0] == table and row[1][1] > after]
            return sorted(found, key=lambda row: row[1][1])

        async with self.changed:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("waitMs", 0)) / 1_000):
                    await self.changed.wait_for(changed_rows)
            return self.listing(changed_rows())

    async def apply(self, call):
        """Apply all entries of a transaction, or none."""
        async with self.changed:
            for row in call.get("expected", ()):
                if self.rows.get(identity_of(row), ("", 0))[1] != row["ver"]:
                    return 412, {"rows": []}
            self.version += 1
            for row in call.get("puts", ()):
                self.rows[identity_of(row)] = (row["value"], self.version)
            for row in call.get("deletes", ()):
                self.rows.pop(identity_of(row), None)
            self.changed.notify_all()
        return 200, {"ver": self.version, "now": "1ms"}


def identity_of(row):
    """Return table, part and key of a row."""
    return row["table"], row.get("part", ""), row["key"]
