"""Tests of the rules, the schedule and the relay of the fault soak."""

import asyncio
import unittest
from contextlib import suppress

from papayabay_bench.soak.history import History
from papayabay_bench.soak.relay import Direction, Relay
from papayabay_bench.soak.rules import check
from papayabay_bench.soak.schedule import UnknownFault, draw_schedule, validate_kinds
from papayabay_bench.soak.settings import SoakSettings
from platform_standins.deployment import PROMISES
from platform_standins.messages import Message

BOUND_SECONDS = 10


def answer(status, body=b""):
    return Message(["HTTP/1.1", str(status), ""], {}, body)


class RulesTest(unittest.TestCase):
    def setUp(self):
        self.history = History()

    def send(self, request_id="r1", is_unsafe=True):
        self.history.record_sent(request_id, "POST", f"/{request_id}", b"x", is_unsafe)

    def run_request(self, request_id="r1", path=None, body=b"x"):
        path = path or f"/{request_id}"
        self.history.record_run(request_id, "i-1", "POST", path, body)

    def broken_rules(self):
        return [violation.rule for violation in check(self.history, PROMISES)]

    def test_sound_history_breaks_no_rule(self):
        self.send("r1")
        self.run_request("r1")
        self.history.record_answer("r1", answer(200, b"ran /r1"))
        self.send("r2")
        self.history.record_refusal("r2", "i-1", 503)
        self.history.record_answer("r2", answer(503))
        self.send("r3")
        self.run_request("r3")
        self.history.record_answer("r3", answer(502))
        self.send("r4", is_unsafe=False)
        self.run_request("r4")
        self.run_request("r4")
        self.history.record_failure("r4", "reset")
        self.assertEqual(self.broken_rules(), [])

    def test_request_that_ran_and_was_refused_is_found(self):
        for status in PROMISES:
            with self.subTest(status=status):
                self.history = History()
                self.send()
                self.run_request()
                self.history.record_answer("r1", answer(status))
                self.assertEqual(self.broken_rules(), ["refused"])

    def test_request_that_runs_after_its_refusal_is_found(self):
        self.send()
        self.history.record_answer("r1", answer(503))
        self.run_request()
        self.assertEqual(self.broken_rules(), ["refused"])

    def test_request_that_ran_twice_is_found(self):
        self.send()
        self.run_request()
        self.run_request()
        self.assertEqual(self.broken_rules(), ["twice"])

    def test_changed_and_invented_requests_are_found(self):
        self.send()
        self.run_request(body=b"y")
        self.run_request("r9")
        self.assertEqual(self.broken_rules(), ["unasked", "unasked"])

    def test_answer_to_another_request_is_found(self):
        self.send()
        self.history.record_answer("r1", answer(200, b"ran /r2"))
        self.assertEqual(self.broken_rules(), ["mixed"])


class ScheduleTest(unittest.TestCase):
    def test_seed_determines_the_schedule(self):
        drawn = [draw_schedule(SoakSettings(seed), 9) for seed in (1, 1, 2)]
        self.assertEqual(drawn[0], drawn[1])
        self.assertNotEqual(drawn[0], drawn[2])

    def test_unknown_fault_is_refused(self):
        with self.assertRaises(UnknownFault):
            validate_kinds(["pause", "flood"])


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_that_are_held_back_are_delivered_later(self):
        """Guards against a one-way cut that loses bytes, or cuts both ways."""
        received = asyncio.Queue()

        async def echo(reader, writer):
            # The connection is still open when the test's loop is closed.
            with suppress(asyncio.CancelledError):
                while data := await reader.read(100):
                    await received.put(data)
                    writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        directions = {("a", "b"): Direction(), ("b", "a"): Direction()}
        relay = Relay("a", directions, {host: "b"})
        address = await relay.start("127.0.0.1")
        self.addCleanup(relay.close)
        reader, writer = await asyncio.open_connection(*address)
        directions["b", "a"].is_open.clear()
        writer.write(f"{host} {port}\n".encode() + b"frame")
        async with asyncio.timeout(BOUND_SECONDS):
            self.assertEqual(await received.get(), b"frame")
            answered = asyncio.create_task(reader.read(100))
            await asyncio.sleep(0)
            self.assertFalse(answered.done())
            directions["b", "a"].is_open.set()
            self.assertEqual(await answered, b"frame")


if __name__ == "__main__":
    unittest.main()
