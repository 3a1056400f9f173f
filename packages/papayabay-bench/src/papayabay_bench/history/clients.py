"""Concurrent clients that record every attempt and its outcome."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp

from papayabay_bench.history.records import Answered, Invocation, Outcome
from papayabay_bench.history.system import (
    BROWSE_PATH,
    CONFIRM_PATH,
    DOCUMENT_PATH,
    FRONT,
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

ATTEMPT_TIMEOUT_SECONDS = 1.6
MAX_BODY_BYTES = 4_000
FINAL_STATUSES = frozenset({400, 422})
NO_KEY_PAUSE_SECONDS = 0.02


@dataclass(slots=True)
class ClientRequest:
    """One request, as sent by each of its attempts."""

    name: str
    method: str
    path: str
    key: str
    body: bytes

    def headers(self, attempt):
        """Return the headers of an attempt.

        Only the attempt's name differs between the attempts of a request.
        Targets record it with each effect and pass it on in their own calls.
        """
        headers = {
            SERVICE_HEADER: FRONT,
            NONCE_HEADER: self.name,
            REQUEST_HEADER: attempt,
        }
        return headers | ({KEY_HEADER: self.key} if self.key else {})


class RecordingClient:
    """A client that sends the requests of its plan and records them.

    Parameters
    ----------
    name : str
        Unique over all runs of a fleet.
    plan : ClientPlan
    entries : dict of str to str
        URL of each daemon's listener for callers, by daemon name.
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
        self.request_count = 0

    async def run(self, ends_at):
        """Send requests until a time; complete the last one after it."""
        while now() < ends_at:
            operation = self.random.choice(self.plan.operations)
            await self.send_with_retries(operation)
            pause = self.random.expovariate(1.0) * self.plan.pause_ms / 1_000
            await asyncio.sleep(pause)

    async def send_with_retries(self, operation):
        """Send a request until its answer is final or no retry is left."""
        request = await self.new_request(operation)
        if request is None:
            await asyncio.sleep(NO_KEY_PAUSE_SECONDS)
            return
        count = self.plan.concurrent_attempts if request.key else 1
        for retry in range(self.plan.retries + 1):
            names = [f"{request.name}/{retry}.{number}" for number in range(count)]
            results = await asyncio.gather(
                *(self.attempt(request, name) for name in names)
            )
            if any(is_final(result) for result in results):
                break
        if operation == "conflict":
            await self.send_conflict(request)

    async def send_conflict(self, request):
        """Send a request with the same key and another body.

        An answer to the first request would be recorded as wrong.
        """
        other = ClientRequest(
            name=f"{request.name}x",
            method=request.method,
            path=request.path,
            key=request.key,
            body=request.body + b"x",
        )
        await self.attempt(other, f"{other.name}/0.0")

    async def new_request(self, operation):
        """Return the next request, or None when no key could be minted."""
        self.request_count += 1
        name = f"{self.name}-{self.request_count}"
        if operation == "browse":
            return ClientRequest(name, "GET", f"{BROWSE_PATH}/{name}", "", b"")
        if operation == "document":
            return ClientRequest(name, "GET", f"{DOCUMENT_PATH}/{name}", "", b"")
        key = await self.mint_key() if operation == "home" else f"key-{name}"
        if not key:
            return None
        body = self.random.randbytes(self.random.randrange(MAX_BODY_BYTES))
        return ClientRequest(name, "POST", f"{CONFIRM_PATH}/{name}", key, body)

    async def mint_key(self):
        """Return an idempotency key minted by any daemon, or "".

        The daemon that mints a key owns it: calls with it run there.
        """
        url = self.random.choice(list(self.entries.values())) + KEYS_PATH
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_SECONDS):
                async with self.session.post(url) as response:
                    return (await response.json())["key"]
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError, KeyError):
            return ""

    async def attempt(self, request, name):
        """Send one attempt to any daemon; record it and its outcome."""
        entry = self.random.choice(list(self.entries))
        self.recorder.add(
            Invocation(
                attempt=name,
                request=request.name,
                key=request.key,
                entry=entry,
                service=FRONT,
                method=request.method,
                path=request.path,
                body_bytes=len(request.body),
                time=now(),
            )
        )
        answered = Answered(name, Outcome.TIMED_OUT.value, 0, "", "", 0.0)
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_SECONDS):
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

    async def exchange(self, entry_url, request, answered):
        """Send an attempt and store its response in `answered`."""
        async with self.session.request(
            request.method,
            entry_url + request.path,
            headers=request.headers(answered.attempt),
            data=request.body or None,
        ) as response:
            content = await response.read()
        answered.status = response.status
        answered.effect = response.headers.get(EFFECT_HEADER, "")
        answered.outcome = Outcome.ERROR.value
        if response.status >= 400:
            answered.kind = kind_of(response, content)
            return
        is_own = is_own_answer(content, request.name)
        answered.outcome = (Outcome.GOOD if is_own else Outcome.WRONG).value


def is_final(answered):
    """Return whether a retry could not change the outcome."""
    return answered.outcome in (Outcome.GOOD.value, Outcome.WRONG.value) or (
        answered.status in FINAL_STATUSES
    )
