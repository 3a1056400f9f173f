"""One generator: sends each request when it is due, come what may."""

import asyncio
import random
from itertools import accumulate, count

from papayabay_bench.load.arrivals import arrival_times
from papayabay_bench.load.client import Client, new_session
from papayabay_bench.load.results import Outcome, Request, to_line
from papayabay_core.utils.clock import now

FINAL = frozenset({Outcome.GOOD.value, Outcome.WRONG.value})
LOOK_AHEAD = 0.0005


class Generator:
    """Offers a load and keeps what became of it.

    Parameters
    ----------
    spec : LoadSpec
    """

    def __init__(self, spec):
        self.spec = spec
        self.random = random.Random(f"requests/{spec.seed}/{spec.part}")
        self.weights = list(accumulate(call.weight for call in spec.calls))
        self.numbers = count()
        self.requests = []
        self.in_flight = 0
        self.output = None

    async def run(self):
        """Offer the whole load and return the requests.

        Returns
        -------
        list of Request
            Those of the output file are not kept, and not returned.
        """
        begins = self.spec.starts_at or now()
        timeout = self.spec.patience.attempt_timeout_ms / 1_000
        self.open_output()
        try:
            async with new_session() as session, asyncio.TaskGroup() as group:
                client = Client(session, timeout)
                await self.send_all(client, group, begins)
        finally:
            self.close_output()
        return self.requests

    async def send_all(self, client, group, begins):
        """Start one task for each request when it is due."""
        for offset in arrival_times(self.spec):
            due = begins + offset
            early = due - now()
            if early > LOOK_AHEAD:
                await asyncio.sleep(early)
            self.send(client, group, due)

    def send(self, client, group, due):
        """Start a request, unless too many are in flight."""
        call = self.random.choices(self.spec.calls, cum_weights=self.weights)[0]
        number = next(self.numbers)
        request = self.new_request(call, number, due)
        if self.in_flight >= self.spec.most_in_flight:
            self.keep(request)
            return
        self.in_flight += 1
        path = call.path.replace("{n}", str(number))
        group.create_task(self.pursue(client, call, request, path))

    def new_request(self, call, number, due):
        """Return a request that was not sent yet."""
        name = f"{self.spec.seed}-{self.spec.part}-{number}"
        return Request(
            request=name,
            call=call.name,
            importance=call.importance,
            key=f"key-{name}" if call.key == "own" else "",
            due=due,
            lateness_ms=max(0.0, now() - due) * 1_000,
        )

    async def pursue(self, client, call, request, path):
        """Send a request until it succeeds or patience ends."""
        try:
            for number in range(self.spec.patience.retries + 1):
                if number:
                    await self.pause(request.attempts[-1])
                entry = self.random.choice(self.spec.entries)
                attempt = await self.attempt(client, entry, call, request, path)
                request.attempts.append(attempt)
                if attempt.outcome in FINAL:
                    break
        finally:
            self.in_flight -= 1
            self.finish(request)

    async def attempt(self, client, entry, call, request, path):
        """Make one attempt, getting the request a key if it needs one."""
        if call.key == "minted" and not request.key:
            failed = await client.mint(entry, request)
            if failed:
                return failed
        return await client.attempt(entry, call, request, path)

    async def pause(self, attempt):
        """Wait before the next attempt as patience says."""
        patience = self.spec.patience
        pause_ms = patience.pause_ms
        if patience.honour_retry_after:
            pause_ms = max(pause_ms, attempt.retry_after_ms)
        await asyncio.sleep(pause_ms / 1_000)

    def finish(self, request):
        """Set the end of a request from its last attempt, and keep it."""
        if request.attempts:
            last = request.attempts[-1]
            request.outcome = last.outcome
            request.latency_ms = (last.ended - request.due) * 1_000
        self.keep(request)

    def keep(self, request):
        """Write a request to the output, or remember it without one."""
        if self.output:
            self.output.write(to_line(request))
        else:
            self.requests.append(request)

    def open_output(self):
        """Open the output file, if there is to be one."""
        if self.spec.output_path:
            self.output = open(self.spec.output_path, "wb")  # noqa: SIM115

    def close_output(self):
        """Write out what is buffered."""
        if self.output:
            self.output.close()
            self.output = None
