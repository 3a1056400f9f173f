"""The promise `not run`, over random histories of attempts and faults."""

import asyncio
import unittest
from collections import Counter
from random import Random

from papayabay_core.errors import Effect
from platform_standins.deployment import PROMISES
from tests.lib.memory_network import MemoryNetwork, NetworkLoop, virtual_clock
from tests.unit.platform.attempt_fleet import AttemptFleet

SEEDS = range(8)
REQUESTS = 1_500
REQUESTS_PER_SECOND = 60.0
FAULTS_PER_SECOND = 2.0
SETTLE_SECONDS = 30.0
"""Longer than any deadline and any delay, so that what travels arrives."""
EXPECTED_KINDS = {
    "EXPIRED",
    "LINK_LOST",
    "LINK_UNAVAILABLE",
    "OVERLOADED",
    "TARGET_LOST",
    "TARGET_REJECTED",
    "TARGET_SHED",
    "TARGET_UNREACHABLE",
}
"""Kinds that a run of all seeds must meet, or it shows too little."""


def is_promise(answer):
    """Return whether an answer tells its caller that the request did not run.

    A target's own answer is forwarded with its status.
    """
    if answer.kind is None:
        return answer.status in PROMISES
    return answer.effect is Effect.NOT_RUN


async def play(seed):
    """Play a seed; return its fleet with all answers."""
    random = Random(seed)
    loop = asyncio.get_running_loop()
    loop.network = MemoryNetwork(loop, Random(seed + 1))
    fleet = AttemptFleet(loop.network, random)
    with virtual_clock(loop):
        await fleet.start()
        pending = []
        until = REQUESTS / REQUESTS_PER_SECOND

        async def disturb():
            started = loop.time()
            while loop.time() - started < until:
                await asyncio.sleep(random.expovariate(FAULTS_PER_SECOND))
                pending.append(loop.create_task(fleet.disturb()))

        disturbing = loop.create_task(disturb())
        for number in range(REQUESTS):
            pending.append(fleet.send(number))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
        await disturbing
        await asyncio.gather(*pending, return_exceptions=True)
        await asyncio.sleep(SETTLE_SECONDS)
        for daemon in fleet.daemons:
            await fleet.run_on(daemon, daemon.stop())
            daemon.upstream.stop()
        await asyncio.sleep(SETTLE_SECONDS)
    for task in pending:
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()
    return fleet


def run_seed(seed):
    """Play a seed in a loop of its own."""
    with asyncio.Runner(loop_factory=NetworkLoop) as runner:
        return runner.run(play(seed))


class NotRunProofsTest(unittest.TestCase):
    def test_no_request_that_ran_is_answered_as_not_run(self):
        """Guards against REFUSED and TWICE, whatever fails on the way."""
        kinds = Counter()
        for seed in SEEDS:
            fleet = run_seed(seed)
            runs = fleet.runs.started
            twice = [name for name, count in runs.items() if count > 1]
            wrong = [
                (name, answer.kind, answer.status)
                for name, answer in fleet.answers.items()
                if is_promise(answer) and runs[name]
            ]
            self.assertEqual((twice, wrong), ([], []), f"seed {seed}")
            kinds.update(
                answer.kind.name if answer.kind else "ANSWERED"
                for answer in fleet.answers.values()
            )
        self.assertLessEqual(EXPECTED_KINDS, set(kinds))


if __name__ == "__main__":
    unittest.main()
