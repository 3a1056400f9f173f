"""Telling the target that nobody waits for a call any more."""

import asyncio
from urllib.parse import quote

from papayabay_core.http.requester import Requester

MAX_NOTICES = 64
MAX_CONNECTIONS = 4
NOTICE_SECONDS = 1.0
ANSWER_BYTES = 65_536


class CancelNotices:
    """Posts to the announced cancel path, in the background.

    A notice only saves the target work, so it is dropped when too many are
    under way already, and its failure is only counted.
    """

    def __init__(self):
        self.requester = Requester(NOTICE_SECONDS, ANSWER_BYTES)
        self.slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self.tasks = set()
        self.counters = {"sent": 0, "dropped": 0, "failed": 0}

    def post(self, announcement, call_token):
        """Tell the target; returns at once."""
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
        """Post one notice."""
        try:
            async with self.slots, asyncio.timeout(NOTICE_SECONDS):
                await self.requester.send("POST", url)
            self.counters["sent"] += 1
        except (OSError, TimeoutError, ValueError):
            self.counters["failed"] += 1

    async def close(self):
        """Drop what is under way."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.requester.close()
