"""Requests that may run once, at an upstream that sends answers twice."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from papayabay_core.errors import CallError, Effect
from papayabay_daemon._internal.target import HttpTargetClient
from papayabay_platform.target_dialect import PlatformTargetDialect
from tests.unit.daemon.door_fakes import bounded, call, settings
from tests.unit.daemon.target_client_support import ClientTestCase
from tests.unit.platform.test_target_dialect import (
    FREE_SLOTS,
    ID,
    NOT_RUN,
    SIGNATURE,
    response,
)

SEEDS = range(8)
REQUESTS = 120
WORKERS = 6
MAX_ATTEMPTS = 12
REFUSED_SHARE = 0.5
DOUBLED_SHARE = 0.2
BROKEN_OFF_SHARE = 0.02
MAX_ANSWERS_LATE = 3
"""Most answers to later requests that are sent before a late copy."""


@dataclass
class FaultyUpstream:
    """Refuses requests at random, and sends some answers a second time.

    Attributes
    ----------
    random : random.Random
    runs : Counter of str
        How often each request ran.
    late : dict of StreamWriter to list of (int, bytes)
        Copies to send, with the number of answers to send before them.
    copies : int
        Number of copies sent.
    """

    random: random.Random
    runs: Counter = field(default_factory=Counter)
    late: dict = field(default_factory=dict)
    copies: int = 0

    async def answer(self, request_id, writer):
        """Send the late copies that are due, then run or refuse a request."""
        waiting = self.late.setdefault(writer, [])
        due = [data for answers, data in waiting if answers == 0]
        waiting[:] = [(answers - 1, data) for answers, data in waiting if answers]
        writer.writelines(due)
        self.copies += len(due)
        own_id = (ID, request_id.encode())
        if self.random.random() < REFUSED_SHARE:
            data = response(503, own_id, NOT_RUN, FREE_SLOTS)
        else:
            self.runs[request_id] += 1
            await asyncio.sleep(self.random.choice((0.0, 0.001)))
            data = response(200, own_id, SIGNATURE, body=request_id.encode())
        if self.random.random() < BROKEN_OFF_SHARE:
            writer.close()
            return
        writer.write(data)
        if self.random.random() < DOUBLED_SHARE:
            waiting.append((self.random.randrange(MAX_ANSWERS_LATE), data))


class FaultyUpstreamTest(ClientTestCase):
    async def send(self, request_id):
        """Send a request until it has an answer or its effect is unknown.

        Returns
        -------
        bytes or Effect
            The body of its answer, else the effect of the last attempt.
        """
        for _ in range(MAX_ATTEMPTS):
            sent = call(
                "POST", headers=[(ID.decode(), request_id)], request_id=request_id
            )
            try:
                return (await bounded(self.client.run(sent, "t1"))).body.first
            except CallError as error:
                effect = error.answer.effect
            if effect is not Effect.NOT_RUN:
                break
        return effect

    async def check(self, seed):
        """Send all requests of a seed; return the number of copies sent."""
        upstream = FaultyUpstream(random.Random(seed))

        async def behave(reader, writer):
            head = target.requests[-1]
            request_id = head.partition(f"{ID.decode()}: ")[2].split("\r\n")[0]
            await upstream.answer(request_id, writer)

        self.client = HttpTargetClient(
            settings(), self.registry, PlatformTargetDialect()
        )
        self.addAsyncCleanup(self.client.close)
        target = await self.open(behave, incarnation=f"i-{seed}")
        results = {}

        async def work(number):
            for position in range(number, REQUESTS, WORKERS):
                request_id = f"{seed}-{position}"
                results[request_id] = await self.send(request_id)

        await asyncio.gather(*map(work, range(WORKERS)))
        for request_id, result in results.items():
            runs = upstream.runs[request_id]
            self.assertLessEqual(runs, 1, request_id)
            if result is Effect.NOT_RUN:
                self.assertEqual(runs, 0, request_id)
            elif isinstance(result, bytes):
                self.assertEqual((result, runs), (request_id.encode(), 1))
        return upstream.copies

    async def test_each_request_runs_once_or_is_truthfully_refused(self):
        """Guards against a copy that is read as another attempt's answer."""
        copies = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                copies += await self.check(seed)
        self.assertGreater(copies, len(SEEDS))
