"""A target's end is told from an answer that merely was lost."""

import asyncio
import unittest

import logbook

from papayabay_core.calls import Body
from papayabay_core.errors import ErrorKind
from papayabay_daemon._internal.quarantine import Fingerprints
from tests.unit.daemon.door_fakes import bounded, call, settings
from tests.unit.daemon.target_client_support import ClientTestCase


class Dying:
    """A target that cuts all connections, or one, when a call says so."""

    def __init__(self):
        self.writers = set()
        self.target = None

    async def behave(self, reader, writer):
        self.writers.add(writer)
        path = self.target.requests[-1].split()[1]
        if path == "/deadly":
            self.target.server.close()
            for one in self.writers:
                one.transport.abort()
        elif path == "/lost":
            writer.transport.abort()
        else:
            await reader.read()


class EndTests(ClientTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.ends = []
        self.client.crash_detector.listeners.append(self.ends.append)
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)
        self.dying = Dying()
        self.dying.target = await self.open(self.dying.behave, incarnation="p1")

    async def fail_beside(self, path):
        """Send a call that waits and, once it runs, one of a path."""
        waiting = asyncio.create_task(self.client.run(call(path="/waits"), "t0"))
        await bounded(self.dying.target.arrived.wait())
        await self.fails(ErrorKind.TARGET_LOST, call(path=path))
        return waiting

    async def test_an_end_names_all_calls_at_work(self):
        waiting = await self.fail_beside("/deadly")
        with self.assertRaisesRegex(Exception, "TARGET_LOST"):
            await bounded(waiting)
        await bounded(self.client.crash_detector.probe_task)
        (end,) = self.ends
        self.assertEqual((end.process, end.service), (("p1", 0), "svc"))
        made = Fingerprints(settings(inline_body_bytes=1024))
        wanted = {made.of(call(path=path)) for path in ("/waits", "/deadly")}
        self.assertEqual({work.fingerprint for work in end.calls}, wanted)
        self.assertEqual(
            self.client.crash_detector.counters, {"ends": 1, "ended_calls": 2}
        )
        line = self.logged.records[-1].message
        self.assertIn("target p1 of svc has ended with 2 calls at work: r1=", line)

    async def test_an_end_under_a_call_that_was_given_up_is_found_out(self):
        """Its caller left first, and nobody else lost anything.

        Symptom: a request goes on ending targets that its callers leave
        early. Sequence: the caller leaves; the target ends; the next call
        finds its port closed. Cause: only calls that broke off were asked
        about.
        """
        waiting = asyncio.create_task(self.client.run(call(path="/waits"), "t0"))
        await bounded(self.dying.target.arrived.wait())
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.dying.target.server.close()
        await self.fails(ErrorKind.TARGET_UNREACHABLE, call(path="/next"))
        await bounded(self.client.crash_detector.probe_task)
        (end,) = self.ends
        self.assertEqual(len(end.calls), 1)

    async def test_a_lost_answer_is_no_end(self):
        waiting = await self.fail_beside("/lost")
        await bounded(self.client.crash_detector.probe_task)
        self.assertEqual(self.ends, [])
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    async def test_a_lost_answer_on_the_only_connection_is_no_end(self):
        await self.fails(ErrorKind.TARGET_LOST, call(path="/lost"))
        await bounded(self.client.crash_detector.probe_task)
        self.assertEqual(self.ends, [])

    async def test_a_target_that_leaves_ends_as_it_was_meant_to(self):
        self.announce(self.dying.target.port, incarnation="p1", draining=True)
        await self.fails(ErrorKind.TARGET_LOST, call(path="/deadly"))
        await bounded(self.client.crash_detector.probe_task)
        self.assertEqual(self.ends, [])


class FingerprintTests(unittest.TestCase):
    def setUp(self):
        self.fingerprints = Fingerprints(settings(inline_body_bytes=1024))

    def of(self, **changes):
        made = call("POST", "/a", body=Body(b"x"))
        for name, value in changes.items():
            setattr(made, name, value)
        return self.fingerprints.of(made)

    def test_the_same_content_is_the_same_request(self):
        self.assertEqual(self.of(), self.of(request_id="other", service="s", rank=9))

    def test_each_part_counts(self):
        bodies = [Body(b"y"), Body(b""), Body(b"x" * 1024), Body(b"x" * 1025)]
        found = {self.of(body=body) for body in bodies}
        found |= {self.of(), self.of(path="/b"), self.of(method="PUT")}
        self.assertEqual(len(found), 7)

    def test_a_streamed_body_counts_as_far_as_all_daemons_have_it(self):
        at_entry = Body(b"x" * 5_000, object())
        beside_target = Body(b"x" * 1_024, object())
        self.assertEqual(self.of(body=at_entry), self.of(body=beside_target))


if __name__ == "__main__":
    unittest.main()
