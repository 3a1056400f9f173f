"""Detection of target crashes, as opposed to answers that were lost."""

import asyncio
import unittest

import logbook

from papayabay_core.calls import Body
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.quarantine import Fingerprints
from tests.unit.daemon.door_fakes import bounded, call, settings
from tests.unit.daemon.target_client_support import ClientTestCase


class CrashingTarget:
    """A target that resets one or all connections, depending on the path."""

    def __init__(self):
        self.writers = set()
        self.target = None

    async def behave(self, reader, writer):
        self.writers.add(writer)
        path = self.target.requests[-1].split()[1]
        if path == "/deadly":
            self.target.server.close()
            for open_writer in self.writers:
                open_writer.transport.abort()
        elif path == "/lost":
            writer.transport.abort()
        else:
            await reader.read()


class CrashTests(ClientTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.crashes = []
        self.client.crash_detector.listeners.append(self.crashes.append)
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)
        self.crashing = CrashingTarget()
        self.crashing.target = await self.open(self.crashing.behave, incarnation="p1")

    async def fail_beside(self, path):
        """Send a call that waits; once it runs, fail one with a path.

        Returns the task of the waiting call.
        """
        waiting = asyncio.create_task(self.client.run(call(path="/waits"), "t0"))
        await bounded(self.crashing.target.arrived.wait())
        await self.fails(ErrorKind.TARGET_LOST, call(path=path))
        return waiting

    async def test_a_crash_names_all_calls_in_flight(self):
        waiting = await self.fail_beside("/deadly")
        with self.assertRaisesRegex(Exception, "TARGET_LOST"):
            await bounded(waiting)
        await bounded(self.client.crash_detector.probe_task)
        (crash,) = self.crashes
        self.assertEqual((crash.process, crash.service), (("p1", 0), "svc"))
        fingerprints = Fingerprints(settings(inline_body_bytes=1024))
        wanted = {fingerprints.of(call(path=path)) for path in ("/waits", "/deadly")}
        self.assertEqual({lost.fingerprint for lost in crash.calls}, wanted)
        self.assertEqual(
            self.client.crash_detector.counters, {"ends": 1, "ended_calls": 2}
        )
        line = self.logged.records[-1].message
        self.assertIn("target p1 of svc has ended with 2 calls at work: r1=", line)

    async def test_a_crash_under_a_cancelled_call_is_detected(self):
        """Guards against a request that crashes targets unsuspected.

        The caller cancels the call, then the target crashes, and the next call
        is refused a connection. No call broke off, so only the cancelled one
        can lead to the crash.
        """
        waiting = asyncio.create_task(self.client.run(call(path="/waits"), "t0"))
        await bounded(self.crashing.target.arrived.wait())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.crashing.target.server.close()
        await self.fails(ErrorKind.TARGET_UNREACHABLE, call(path="/next"))
        await bounded(self.client.crash_detector.probe_task)
        (crash,) = self.crashes
        self.assertEqual(len(crash.calls), 1)

    async def test_a_lost_answer_is_no_crash(self):
        waiting = await self.fail_beside("/lost")
        await bounded(self.client.crash_detector.probe_task)
        self.assertEqual(self.crashes, [])
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    async def test_a_lost_answer_on_the_only_connection_is_no_crash(self):
        await self.fails(ErrorKind.TARGET_LOST, call(path="/lost"))
        await bounded(self.client.crash_detector.probe_task)
        self.assertEqual(self.crashes, [])

    async def test_the_end_of_a_draining_target_is_no_crash(self):
        self.announce(self.crashing.target.port, incarnation="p1", draining=True)
        await self.fails(ErrorKind.TARGET_LOST, call(path="/deadly"))
        await bounded(self.client.crash_detector.probe_task)
        self.assertEqual(self.crashes, [])


class FingerprintTests(unittest.TestCase):
    def setUp(self):
        self.fingerprints = Fingerprints(settings(inline_body_bytes=1024))

    def of(self, **changes):
        changed = call("POST", "/a", body=Body(b"x"))
        for name, value in changes.items():
            setattr(changed, name, value)
        return self.fingerprints.of(changed)

    def test_requests_with_the_same_content_have_the_same_fingerprint(self):
        self.assertEqual(self.of(), self.of(request_id="other", service="s", rank=9))

    def test_method_path_and_body_change_the_fingerprint(self):
        bodies = [Body(b"y"), Body(b""), Body(b"x" * 1024), Body(b"x" * 1025)]
        found = {self.of(body=body) for body in bodies}
        found |= {self.of(), self.of(path="/b"), self.of(method="PUT")}
        self.assertEqual(len(found), 7)

    def test_a_streamed_body_counts_up_to_the_inline_size(self):
        at_entry = Body(b"x" * 5_000, object())
        beside_target = Body(b"x" * 1_024, object())
        self.assertEqual(self.of(body=at_entry), self.of(body=beside_target))


if __name__ == "__main__":
    unittest.main()
