"""Upstreams that send without end, to many callers at once."""

import asyncio
from pathlib import Path

from tests.functional.platform_support import PlatformTestCase

CALLERS = 8
"""For each daemon: the one beside the upstream, and one behind a link."""
DEADLINE_MS = 1_500
MAX_GROWTH_BYTES = 32 * 1024 * 1024


def resident_bytes(process):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise LookupError("no resident memory is stated")


class EndlessAnswersTest(PlatformTestCase):
    async def call(self, vm, number):
        """Send a request, and read of its answer as little as possible."""
        host, port = vm.host, vm.ports["outbound"]
        reader, writer = await asyncio.open_connection(host, port, limit=1_024)
        writer.write(
            f"GET /read/{number} HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Papayabay-Request-Id: endless-{vm.number}-{number}\r\n"
            f"X-Papayabay-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        try:
            await reader.read(1)
            await asyncio.sleep(DEADLINE_MS / 1_000)
        finally:
            writer.transport.abort()

    async def test_endless_answers_leave_memory_and_other_requests_alone(self):
        """Guards against daemons that keep all bytes of a faulty upstream."""
        upstream = self.vms[1].upstream
        upstream.slots = CALLERS * len(self.vms)
        for fault in ("endless body", "endless head"):
            with self.subTest(fault):
                before = [resident_bytes(vm.process) for vm in self.vms]
                upstream.faults = [fault] * CALLERS * len(self.vms)
                calls = [
                    asyncio.create_task(self.call(vm, number))
                    for vm in self.vms
                    for number in range(CALLERS)
                ]
                highest = before
                while not all(call.done() for call in calls):
                    await asyncio.sleep(0.1)
                    sizes = [resident_bytes(vm.process) for vm in self.vms]
                    highest = [*map(max, highest, sizes)]
                await asyncio.gather(*calls)
                self.assertEqual(upstream.faults, [])
                for start, end in zip(before, highest, strict=True):
                    self.assertLess(end - start, MAX_GROWTH_BYTES)
                self.assertEqual([vm.process.poll() for vm in self.vms], [None, None])
                await self.wait_until(self.serves)
