"""A target's own calls, made through the daemon beside it."""

import asyncio
from dataclasses import dataclass

import aiohttp

from papayabay_bench.targets.answers import is_own_answer

CALL_HEADER = "Papayabay-Call"
SERVICE_HEADER = "Papayabay-Service"
REQUEST_HEADER = "Bench-Request"
NONCE_HEADER = "Bench-Nonce"
KEY_HEADER = "Idempotency-Key"
EFFECT_HEADER = "Papayabay-Effect"
RETRY_AFTER_HEADERS = ("Retry-After", "Papayabay-Retry-After-Ms")
NOT_RUN = "not-run"
COPIED_HEADERS = (CALL_HEADER, REQUEST_HEADER, KEY_HEADER)
LOST_STATUS = 502


class OutgoingFailed(Exception):
    """A call that the target needed did not succeed.

    Attributes
    ----------
    service : str
    status : int
    retry_after : dict of str to str
        The answer's fields that say when to come back.
    crossed : bool
        Whether an answer came that was another's or not whole.
    not_run : bool
        Whether the answer promises that the call was not run.
    """

    def __init__(self, service, status, retry_after=None, crossed=False, not_run=False):
        super().__init__(f"{service} answered {status}")
        self.service = service
        self.status = status
        self.retry_after = retry_after or {}
        self.crossed = crossed
        self.not_run = not_run


@dataclass(slots=True)
class Incoming:
    """What outgoing calls take over from the call being worked on."""

    headers: dict[str, str]
    execution_id: str

    def outgoing_headers(self, service, nonce):
        """Return the headers of one outgoing call."""
        copied = {
            name: self.headers[name] for name in COPIED_HEADERS if name in self.headers
        }
        return copied | {SERVICE_HEADER: service, NONCE_HEADER: nonce}


class OutgoingClient:
    """Makes the calls of one target.

    Parameters
    ----------
    spec : TargetSpec
    session : aiohttp.ClientSession
    """

    def __init__(self, spec, session):
        self.spec = spec
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=spec.outgoing_timeout_ms / 1_000)

    async def run_all(self, path, incoming):
        """Make all calls of a path, in turn or at once.

        Raises
        ------
        OutgoingFailed
            With the first call that did not succeed.
        """
        if not path.parallel:
            for index, call in enumerate(path.calls):
                await self.run(call, index, incoming)
            return
        try:
            async with asyncio.TaskGroup() as group:
                for index, call in enumerate(path.calls):
                    group.create_task(self.run(call, index, incoming))
        except* OutgoingFailed as failures:
            raise failures.exceptions[0] from None

    async def run(self, call, index, incoming):
        """Make one call, repeating it as often as the target likes to."""
        nonce = f"{incoming.execution_id}.{index}"
        headers = incoming.outgoing_headers(call.service, nonce)
        for repeat in range(call.repeats + 1):
            try:
                return await self.attempt(call, part_of(call, index), headers, nonce)
            except OutgoingFailed as failure:
                if repeat == call.repeats or failure.crossed:
                    raise

    async def attempt(self, call, path, headers, nonce):
        """Make one attempt of a call."""
        url = self.spec.daemon_url + path
        try:
            async with self.session.request(
                call.method, url, headers=headers, timeout=self.timeout
            ) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            raise OutgoingFailed(call.service, LOST_STATUS) from None
        if answer.status >= 400:
            retry_after = {
                name: answer.headers[name]
                for name in RETRY_AFTER_HEADERS
                if name in answer.headers
            }
            not_run = answer.headers.get(EFFECT_HEADER) == NOT_RUN
            raise OutgoingFailed(
                call.service, answer.status, retry_after, not_run=not_run
            )
        if not is_own_answer(body, nonce):
            raise OutgoingFailed(call.service, answer.status, crossed=True)


def part_of(call, index):
    """Return the path of the n-th call; no two calls of a path are alike.

    A daemon takes a second outgoing call with the same method, path and
    body for the target's own retry and debits it.
    """
    joint = "&" if "?" in call.path else "?"
    return f"{call.path}{joint}part={index}"
