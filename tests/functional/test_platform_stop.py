"""Planned stops of a daemon while clients go on sending."""

import asyncio
import signal
from random import Random

import aiohttp

from tests.functional.platform_support import BOUND_SECONDS, PlatformTestCase

CLIENTS = 24
WARM_UP_S = 5.0
WORK_S = (0.1, 3.0)
PAUSE_S = 0.3
SEED = 7


class PlannedStopTest(PlatformTestCase):
    grace = "6s"

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.chance = Random(SEED)
        self.vms[1].upstream.work_seconds = lambda: self.chance.uniform(*WORK_S)
        self.vms[1].upstream.slots = CLIENTS
        self.answers = {}
        self.last_id = 0

    async def run_client(self, session, stopped):
        """Send requests on a kept connection until one is not answered."""
        while not stopped.is_set():
            self.last_id += 1
            request_id = f"client-{self.last_id}"
            fields = {
                "Host": "h.example",
                "X-Papayabay-Request-Id": request_id,
                "X-Papayabay-Deadline-Ms": "5000",
            }
            url = self.vms[0].url("outbound") + f"/write/{request_id}"
            try:
                async with session.post(url, headers=fields) as response:
                    await response.read()
                    self.answers[request_id] = response.status
            except aiohttp.ClientError as error:
                self.answers[request_id] = repr(error)
            await asyncio.sleep(PAUSE_S)

    async def test_requests_late_in_the_grace_are_answered(self):
        """Guards against requests that run and are cut off without answer."""
        stopped = asyncio.Event()
        connector = aiohttp.TCPConnector(limit=CLIENTS)
        async with aiohttp.ClientSession(connector=connector) as session:
            clients = [
                asyncio.create_task(self.run_client(session, stopped))
                for _ in range(CLIENTS)
            ]
            await asyncio.sleep(WARM_UP_S)
            process = self.vms[0].process
            process.send_signal(signal.SIGTERM)
            code = await asyncio.to_thread(process.wait, BOUND_SECONDS)
            stopped.set()
            await asyncio.gather(*clients)
        executed = {
            path.rpartition("/")[2] for path, _ in self.vms[1].upstream.executed
        }
        self.assertEqual(code, 0)
        cut_off = {
            request_id: answer
            for request_id, answer in self.answers.items()
            if request_id in executed and not isinstance(answer, int)
        }
        self.assertEqual(cut_off, {})
        ran_anyway = [
            request_id
            for request_id, answer in self.answers.items()
            if answer == 503 and request_id in executed
        ]
        self.assertEqual(ran_anyway, [])
        lost = [one for one, answer in self.answers.items() if answer == 502]
        self.assertLessEqual(len(lost), len(executed) // 50)
