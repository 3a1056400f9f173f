"""An in-memory stand-in for the platform's store, with the same HTTP API."""

import asyncio
import base64
import json

from aiohttp import web


class PlatformStore:
    """A store with versioned rows, conditional writes and a feed of changes.

    Attributes
    ----------
    failure_status : int
        HTTP status with which all requests fail; 0 for none.
    calls : dict of str to int
        Number of requests by path.
    era : int
        Sent with every answer; 0 for a store that does not send its era.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.failure_status = 0
        self.calls = {}
        self.era = 0
        self.runner = None
        self.port = 0

    async def start(self, host="127.0.0.1"):
        application = web.Application(middlewares=[self.handle_request])
        application.add_routes(
            [
                web.get("/rows-get", self.get_rows),
                web.get("/rows-feed", self.feed_rows),
                web.post("/rows-tx", self.write_rows),
            ]
        )
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, self.port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self):
        await self.runner.cleanup()

    @web.middleware
    async def handle_request(self, request, handler):
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.failure_status:
            return web.Response(status=self.failure_status)
        response = await handler(request)
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        return response

    def copy(self):
        """Return a copy of the rows and the version, for `restore`."""
        return dict(self.rows), self.version

    async def restore(self, copy):
        """Restore a copy, as a new era; all later writes are lost."""
        async with self.changed:
            rows, self.version = copy
            self.rows = dict(rows)
            self.era += 1
            self.changed.notify_all()

    async def put(self, table, key, values):
        """Write a row as the operator does."""
        content = base64.b64encode(json.dumps(values).encode()).decode()
        async with self.changed:
            self.version += 1
            self.rows[table, key] = (content, self.version)
            self.changed.notify_all()

    def rows_response(self, rows):
        listed = [
            {"table": table, "part": "", "key": key, "value": value, "ver": version}
            for (table, key), (value, version) in rows
        ]
        return web.json_response({"rows": listed, "ver": self.version, "now": "1ms"})

    async def get_rows(self, request):
        query = request.query
        first, end = query.get("from", ""), query.get("to", "\U0010ffff")
        limit = int(query.get("limit", 500))
        chosen = sorted(
            item
            for item in self.rows.items()
            if item[0][0] == query["table"] and first <= item[0][1] < end
        )
        return self.rows_response(chosen[:limit])

    async def feed_rows(self, request):
        table, after = request.query["table"], int(request.query["after"])
        if after > self.version:
            return web.Response(status=410)

        def changed_rows():
            return [
                item
                for item in self.rows.items()
                if item[0][0] == table and item[1][1] > after
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(int(request.query["waitMs"]) / 1_000):
                    await self.changed.wait_for(changed_rows)
            except TimeoutError:
                pass
            return self.rows_response(changed_rows())

    async def write_rows(self, request):
        body = await request.json()
        async with self.changed:
            for row in body["expected"]:
                _, version = self.rows.get((row["table"], row["key"]), ("", 0))
                if version != row["ver"]:
                    return web.json_response({"rows": []}, status=412)
            self.version += 1
            for row in body["puts"]:
                self.rows[row["table"], row["key"]] = (row["value"], self.version)
            for row in body["deletes"]:
                self.rows.pop((row["table"], row["key"]), None)
            self.changed.notify_all()
        return web.json_response({"ver": self.version, "now": "1ms"})
