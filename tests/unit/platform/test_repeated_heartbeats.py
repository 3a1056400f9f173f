"""Tests of heartbeats that are accepted without being parsed."""

import asyncio
import json
import re

from papayabay_daemon._internal.target import TargetRegistry
from papayabay_platform.heartbeats import LEASE_HEARTBEATS
from tests.unit.daemon.door_fakes import bounded, parse, request
from tests.unit.platform.test_heartbeat_door import DoorTestCase, heartbeat

DATE = re.compile(rb"Date: [^\r]*")


def message(sequence, *args, instance="i-1", **changes):
    content = json.dumps(heartbeat(sequence, *args, **changes)).encode()
    path = f"/Instances.Heartbeat/{instance}"
    return request(path, "POST", body=content, close=False)


class RepeatedHeartbeatTest(DoorTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.time = 100.0
        self.registry = self.door.registry = TargetRegistry(lambda: self.time)
        self.parsed = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        answer = self.door.answer

        async def count(request):
            self.parsed += 1
            await self.may_answer.wait()
            return await answer(request)

        self.door.answer = count
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.door.port
        )
        self.addCleanup(self.writer.close)

    async def receive(self):
        head = await bounded(self.reader.readuntil(b"\r\n\r\n"))
        length = int(re.search(rb"Content-Length: ([0-9]+)", head)[1])
        return head + await bounded(self.reader.readexactly(length))

    async def exchange(self, data):
        self.writer.write(data)
        return await self.receive()

    async def learn(self, start=11):
        """Send the two heartbeats after which repeated ones are recognized."""
        for sequence in (start, start + 1):
            await self.exchange(message(sequence))
        self.parsed = 0

    def lease_left(self):
        return self.registry.lease_expires_at - self.time

    async def test_repeated_heartbeat_renews_the_lease_unparsed(self):
        """Guards against an upstream that is withdrawn although it lives."""
        await self.learn()
        for sequence in range(13, 40):
            self.time += 0.1
            await self.exchange(message(sequence))
            self.assertEqual(self.registry.current.sequence, sequence + 1)
            lease = self.door.period_ms * LEASE_HEARTBEATS / 1000
            self.assertAlmostEqual(self.lease_left(), lease)
        self.assertEqual(self.parsed, 0)

    async def test_answer_is_the_same_as_to_a_parsed_heartbeat(self):
        parsed = await self.exchange(message(11))
        await self.learn(12)
        repeated = await self.exchange(message(14))
        self.assertEqual(self.parsed, 0)
        self.assertEqual(DATE.sub(b"", repeated), DATE.sub(b"", parsed))

    async def test_repeated_heartbeat_leaves_the_same_announcement(self):
        await self.learn()
        await self.exchange(message(13))
        repeated = self.registry.current
        self.door.matcher.expected = None
        await self.exchange(message(14))
        self.assertEqual(self.parsed, 1)
        self.assertTrue(repeated.equals_except_sequence(self.registry.current))

    async def test_heartbeat_with_news_takes_effect(self):
        """Guards against a change that is taken for a repetition."""
        info = {"service": "svc-a", "version": "v1", "zone": "z", "slots": 47}
        await self.learn()
        await self.exchange(message(13, info=info))
        self.assertEqual(self.registry.current.slots, 47)
        await self.exchange(message(14, "draining"))
        self.assertTrue(self.registry.current.draining)

    async def test_late_heartbeat_is_ignored(self):
        """Guards against a lease that a dead process keeps."""
        await self.learn(21)
        await self.exchange(message(25))
        self.time += 0.3
        left = self.lease_left()
        for sequence in (25, 24, 23):
            await self.exchange(message(sequence))
        self.assertEqual(self.lease_left(), left)
        self.assertEqual(self.registry.current.sequence, 26)

    async def test_deregistered_upstream_stays_draining(self):
        """Guards against calls to an upstream that has deregistered."""
        await self.learn()
        path = "/Instances.Deregister/i-1"
        await self.exchange(request(path, "POST", body=b"{}", close=False))
        await self.exchange(message(13))
        self.assertTrue(self.registry.current.draining)

    async def test_expired_upstream_is_announced_again(self):
        """Guards against a withdrawn upstream that never gets calls again."""
        changes = []
        self.registry.listeners.append(changes.append)
        await self.learn()
        self.time += 60.0
        self.assertIsNone(self.registry.current)
        await self.exchange(message(13))
        self.assertEqual(len(changes), 3)
        self.assertIs(self.registry.current, changes[-1])

    async def test_other_process_is_announced(self):
        await self.learn()
        await self.exchange(message(13, instance="i-2"))
        self.assertEqual(self.registry.current.incarnation, "i-2")
        await self.exchange(message(14, instance="i-2"))
        await self.exchange(message(15, instance="i-1"))
        self.assertEqual(self.registry.current.incarnation, "i-2")

    async def test_heartbeat_in_pieces_is_accepted(self):
        """Guards against bytes that are lost between the two ways to read."""
        await self.learn()
        data = message(13)
        for cut in (1, 5, 90, len(data) - 1):
            sequence = self.registry.current.sequence
            data = message(sequence)
            self.writer.write(data[:cut])
            await asyncio.sleep(0.01)
            answer = await self.exchange(data[cut:])
            self.assertEqual(parse(answer)[0], 200)
            self.assertEqual(self.registry.current.sequence, sequence + 1)

    async def test_pipelined_heartbeats_are_answered_one_by_one(self):
        await self.learn()
        self.writer.write(message(13) + message(14))
        for _ in range(2):
            self.assertEqual(parse(await self.receive())[0], 200)
        self.assertEqual(self.registry.current.sequence, 15)

    async def test_number_of_another_object_is_not_learned(self):
        """Guards against a heartbeat whose number is taken from elsewhere."""
        for other in (11, 12, 13):
            content = json.dumps(heartbeat(11, other={"seqNo": other})).encode()
            content = content.replace(b"seqNo", b"seqN\\u006f", 1)
            self.assertEqual(json.loads(content)["status"]["seqNo"], 11)
            path = "/Instances.Heartbeat/i-1"
            await self.exchange(request(path, "POST", body=content, close=False))
            self.assertEqual(self.registry.current.sequence, 12)

    async def test_heartbeat_in_pieces_is_not_learned(self):
        """Guards against a part of a message that is taken for a whole one."""
        for sequence in (11, 12, 13):
            data = message(sequence)
            head = data.index(b"\r\n\r\n") + 4
            self.writer.write(data[:head])
            await asyncio.sleep(0.01)
            await self.exchange(data[head:])
        self.assertIsNone(self.door.matcher.expected)

    async def test_heartbeat_within_another_message_is_not_accepted(self):
        """Guards against a header field that is taken for a request."""
        await self.learn()
        self.writer.write(b"GET /unknown HTTP/1.1\r\nX-Field: ")
        await asyncio.sleep(0.01)
        self.writer.write(message(13))
        await asyncio.sleep(0.01)
        self.assertEqual(self.registry.current.sequence, 13)

    async def test_answers_stay_in_the_order_of_the_requests(self):
        """Guards against an answer taken for that of another request."""
        await self.learn()
        self.may_answer.clear()
        self.writer.write(request("/unknown", close=False))
        await asyncio.sleep(0.01)
        self.writer.write(message(13))
        await asyncio.sleep(0.01)
        self.may_answer.set()
        statuses = [parse(await self.receive())[0] for _ in range(2)]
        self.assertEqual(statuses, [400, 200])

    async def test_invalid_number_is_refused(self):
        await self.learn(11)
        await self.exchange(message(13))
        for digits in (b"01", b"1x", b"-1", b"1 "):
            data = message(14).replace(b'"seqNo": 14', b'"seqNo": ' + digits)
            await self.exchange(data)
            self.assertEqual(self.registry.current.sequence, 14)

    async def test_repetition_closes_the_connection_while_the_door_stops(self):
        """Guards against an upstream that holds up the end of a daemon."""
        await self.learn()
        self.door.disable_keep_alive()
        answer = await self.exchange(message(13))
        self.assertIn(b"Connection: close", answer)
        self.assertEqual(await bounded(self.reader.read()), b"")
