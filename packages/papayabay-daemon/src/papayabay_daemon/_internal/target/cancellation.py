"""Notifies the target of calls whose result is no longer needed."""

import asyncio
from urllib.parse import quote

from papayabay_core.http.requester import Requester

MAX_NOTICES = 64
"""Most notices that may be in flight; further ones are dropped."""
MAX_CONNECTIONS = 4
NOTICE_SECONDS = 1.0
"""Time-out of a notice, including the wait for a connection."""
MAX_ANSWER_BYTES = 65_536


class CancelNotices:
    """Sends POST requests to the announced cancel path, in the background.

    A notice only saves the target some work. So notices are dropped when too
    many are in flight, and failures are counted but not retried.
    """

    def __init__(self):
        self.requester = Requester(NOTICE_SECONDS, MAX_ANSWER_BYTES)
        self.connections = asyncio.Semaphore(MAX_CONNECTIONS)
        self.tasks = set()
        self.counters = {"sent": 0, "dropped": 0, "failed": 0}

    def post(self, announcement, call_token):
        """Start to send a notice for a call, if the target takes notices."""
        if not announcement.cancel_path:
            return
        if len(self.tasks) >= MAX_NOTICES:
            self.counters["dropped"] += 1
            return
        path = announcement.cancel_path.replace("{call}", quote(call_token, safe=""))
        host = (
            f"[{announcement.host}]" if ":" in announcement.host else announcement.host
        )
        url = f"http://{host}:{announcement.port}{path}"
        task = asyncio.create_task(self.send(url))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, url):
        """Send one notice and count its result."""
        try:
            async with self.connections, asyncio.timeout(NOTICE_SECONDS):
                await self.requester.send("POST", url)
            self.counters["sent"] += 1
        except (OSError, TimeoutError, ValueError):
            self.counters["failed"] += 1

    async def close(self):
        """Cancel the notices in flight and close all connections."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.requester.close()
