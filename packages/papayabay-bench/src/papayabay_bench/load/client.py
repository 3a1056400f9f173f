"""A caller: sends one attempt and judges the answer."""

import asyncio
import json

import aiohttp

from papayabay_bench.load.results import Attempt, Outcome
from papayabay_bench.targets.answers import is_own_answer
from papayabay_bench.targets.outgoing import (
    EFFECT_HEADER,
    KEY_HEADER,
    NONCE_HEADER,
    NOT_RUN,
    REQUEST_HEADER,
    SERVICE_HEADER,
)
from papayabay_core.utils.clock import now

KEYS_PATH = "/.papayabay/keys"
RETRY_AFTER_MS_HEADER = "Papayabay-Retry-After-Ms"
PROBLEM_TYPE = "application/problem+json"
KIND_PREFIX = "urn:papayabay:error:"
REFUSING_STATUSES = (429, 503)


def new_session():
    """Return a client session that is as lean as the library allows."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None),
    )


class Client:
    """Sends attempts of requests.

    Parameters
    ----------
    session : aiohttp.ClientSession
    timeout : float
        Seconds after which an attempt is given up.
    """

    def __init__(self, session, timeout):
        self.session = session
        self.timeout = timeout

    async def attempt(self, entry, call, request, path):
        """Send a request once.

        Parameters
        ----------
        entry : str
            URL of a caller door.
        call : CallMix
        request : Request
        path : str

        Returns
        -------
        Attempt
        """
        attempt = Attempt(sent=now())
        try:
            async with asyncio.timeout(self.timeout):
                await self.exchange(entry + path, call, request, attempt)
        except TimeoutError:
            attempt.outcome = Outcome.TIMED_OUT.value
        except (aiohttp.ClientError, OSError):
            attempt.outcome = Outcome.LOST.value
        attempt.ended = now()
        return attempt

    async def mint(self, entry, request):
        """Get a request its key from an entry.

        Returns
        -------
        Attempt or None
            The failed attempt that stands for it; None when it went well.
        """
        attempt = Attempt(sent=now())
        try:
            async with asyncio.timeout(self.timeout):
                async with self.session.post(entry + KEYS_PATH) as answer:
                    message = await answer.json()
            request.key = message["key"]
        except TimeoutError:
            attempt.outcome = Outcome.TIMED_OUT.value
        except (aiohttp.ClientError, OSError, ValueError, KeyError):
            attempt.outcome = Outcome.LOST.value
        attempt.ended = now()
        return None if request.key else attempt

    async def exchange(self, url, call, request, attempt):
        """Send a request and fill in what came back."""
        body = b"." * call.body_bytes or None
        headers = headers_of(call, request)
        async with self.session.request(
            call.method, url, headers=headers, data=body
        ) as answer:
            content = await answer.read()
        attempt.status = answer.status
        attempt.effect = answer.headers.get(EFFECT_HEADER, "")
        attempt.retry_after_ms = retry_after_ms(answer.headers)
        if answer.status >= 400:
            attempt.kind = kind_of(answer, content)
        attempt.outcome = judge(attempt, content, request.request).value


def headers_of(call, request):
    """Return the headers of every attempt of a request."""
    headers = {
        SERVICE_HEADER: call.service,
        REQUEST_HEADER: request.request,
        NONCE_HEADER: request.request,
    }
    if request.key:
        headers[KEY_HEADER] = request.key
    return headers


def retry_after_ms(headers):
    """Return when an answer asks to come back; 0 where it doesn't."""
    exact = headers.get(RETRY_AFTER_MS_HEADER, "")
    if exact.isdigit():
        return int(exact)
    coarse = headers.get("Retry-After", "")
    return int(coarse) * 1_000 if coarse.isdigit() else 0


def kind_of(answer, content):
    """Return the error kind that a problem body names."""
    if answer.content_type != PROBLEM_TYPE:
        return ""
    try:
        kind = json.loads(content).get("type", "")
    except (ValueError, AttributeError):
        return "unreadable-problem"
    return kind.removeprefix(KIND_PREFIX)


def judge(attempt, content, nonce):
    """Return the outcome of an answered attempt."""
    if attempt.status < 400:
        return Outcome.GOOD if is_own_answer(content, nonce) else Outcome.WRONG
    if attempt.status in REFUSING_STATUSES or attempt.effect == NOT_RUN:
        return Outcome.REFUSED
    return Outcome.FAILED
