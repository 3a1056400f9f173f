"""Concurrent clients that record what they send and what they are told."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp

from papayabay_bench.history.records import Answered, Invocation, Outcome
from papayabay_bench.history.system import (
    BROWSE_PATH,
    CONFIRM_PATH,
    DOCUMENT_PATH,
    FRONT_SERVICE,
)
from papayabay_bench.load.client import KEYS_PATH, kind_of
from papayabay_bench.targets.answers import is_own_answer
from papayabay_bench.targets.outgoing import (
    EFFECT_HEADER,
    KEY_HEADER,
    NONCE_HEADER,
    REQUEST_HEADER,
    SERVICE_HEADER,
)
from papayabay_core.utils.clock import now

ATTEMPT_SECONDS = 1.6
LARGEST_BODY = 4_000
FINAL_STATUSES = frozenset({400, 422})
UNCONNECTED_PAUSE = 0.02


@dataclass(slots=True)
class ClientRequest:
    """One request and what all of its attempts have in common."""

    name: str
    method: str
    path: str
    key: str
    body: bytes

    def headers(self, attempt):
        """Return the headers of an attempt; only its name differs.

        Targets record the name with each effect, and pass it on.
        """
        headers = {
            SERVICE_HEADER: FRONT_SERVICE,
            NONCE_HEADER: self.name,
            REQUEST_HEADER: attempt,
        }
        return headers | ({KEY_HEADER: self.key} if self.key else {})


class RecordingClient:
    """One client of a schedule.

    Parameters
    ----------
    name : str
        Unique over all runs of a fleet.
    plan : ClientPlan
    entries : dict of str to str
        Caller door of each daemon, by name.
    session : aiohttp.ClientSession
    recorder : Recorder
    """

    def __init__(self, name, plan, entries, session, recorder):
        self.name = name
        self.plan = plan
        self.entries = entries
        self.session = session
        self.recorder = recorder
        self.random = random.Random(plan.seed)
        self.numbers = 0

    async def run(self, ends_at):
        """Send requests until a time; the last one is pursued to its end."""
        while now() < ends_at:
            operation = self.random.choice(self.plan.operations)
            await self.pursue(operation)
            pause = self.random.expovariate(1.0) * self.plan.pause_ms / 1_000
            await asyncio.sleep(pause)

    async def pursue(self, operation):
        """Send one request until it is answered or its repeats are spent."""
        request = await self.new_request(operation)
        if request is None:
            await asyncio.sleep(UNCONNECTED_PAUSE)
            return
        count = self.plan.concurrent_attempts if request.key else 1
        for repeat in range(self.plan.retries + 1):
            names = [f"{request.name}/{repeat}.{number}" for number in range(count)]
            ends = await asyncio.gather(
                *(self.attempt(request, name) for name in names)
            )
            if any(is_final(end) for end in ends):
                break
        if operation == "conflict":
            await self.conflict(request)

    async def conflict(self, request):
        """Send another body with the same key; only its own answer will do."""
        other = ClientRequest(
            name=f"{request.name}x",
            method=request.method,
            path=request.path,
            key=request.key,
            body=request.body + b"x",
        )
        await self.attempt(other, f"{other.name}/0.0")

    async def new_request(self, operation):
        """Return the next request; None when no key was to be had."""
        self.numbers += 1
        name = f"{self.name}-{self.numbers}"
        if operation == "browse":
            return ClientRequest(name, "GET", f"{BROWSE_PATH}/{name}", "", b"")
        if operation == "document":
            return ClientRequest(name, "GET", f"{DOCUMENT_PATH}/{name}", "", b"")
        key = await self.mint() if operation == "home" else f"key-{name}"
        if not key:
            return None
        body = self.random.randbytes(self.random.randrange(LARGEST_BODY))
        return ClientRequest(name, "POST", f"{CONFIRM_PATH}/{name}", key, body)

    async def mint(self):
        """Return a home-bound key, or "" when the entry gave none."""
        url = self.random.choice(list(self.entries.values())) + KEYS_PATH
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                async with self.session.post(url) as answer:
                    return (await answer.json())["key"]
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, KeyError):
            return ""

    async def attempt(self, request, name):
        """Make one attempt at any entry and record both its ends."""
        entry = self.random.choice(list(self.entries))
        self.recorder.add(
            Invocation(
                attempt=name,
                request=request.name,
                key=request.key,
                entry=entry,
                service=FRONT_SERVICE,
                method=request.method,
                path=request.path,
                body_bytes=len(request.body),
                time=now(),
            )
        )
        answered = Answered(name, Outcome.TIMED_OUT.value, 0, "", "", 0.0)
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                await self.exchange(self.entries[entry], request, answered)
        except TimeoutError:
            pass
        except aiohttp.ClientConnectorError:
            answered.outcome = Outcome.UNCONNECTED.value
        except (aiohttp.ClientError, OSError):
            answered.outcome = Outcome.CUT.value
        answered.time = now()
        self.recorder.add(answered)
        return answered

    async def exchange(self, entry, request, answered):
        """Send an attempt and fill in what came back."""
        async with self.session.request(
            request.method,
            entry + request.path,
            headers=request.headers(answered.attempt),
            data=request.body or None,
        ) as answer:
            content = await answer.read()
        answered.status = answer.status
        answered.effect = answer.headers.get(EFFECT_HEADER, "")
        answered.outcome = Outcome.ERROR.value
        if answer.status >= 400:
            answered.kind = kind_of(answer, content)
            return
        own = is_own_answer(content, request.name)
        answered.outcome = (Outcome.GOOD if own else Outcome.WRONG).value


def is_final(answered):
    """Return whether a repeat would tell nothing new."""
    return answered.outcome in (Outcome.GOOD.value, Outcome.WRONG.value) or (
        answered.status in FINAL_STATUSES
    )
