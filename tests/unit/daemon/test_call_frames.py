"""Bytes of the frames of calls and answers, and the fields they preserve.

Guards against a field that takes the place of another: the structs of frames
and calls are made from positional values, and daemons of earlier releases
read frames by position.
"""

import unittest

from msgspec import structs

from papayabay_core.calls import Answer, Body, Call, LoadState
from papayabay_core.errors import Effect, ErrorKind
from papayabay_core.importance import Importance
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.links import call_frames

FAR = 1e10
"""A time so far away that it is sent as the longest one."""
CALL = Call(
    request_id="r1",
    service="svc",
    method="POST",
    path="/p?q=1",
    headers=[("A", "b"), ("C", "d")],
    body=Body(b"body"),
    importance=Importance.NORMAL,
    rank=77,
    depth=2,
    expires_at=FAR,
    credits=3,
    idempotent=False,
    idempotency_key="key",
    path_key="svc/read",
    attempts=1,
    repeated=True,
    declared_class=Importance.SHEDDABLE,
    account="acct",
    key_digest="digest",
    due_at=FAR,
    path_class=1,
    rest_s=0.25,
)
LOAD = LoadState(
    in_flight=1,
    queued=2,
    limit=3,
    queue_ms=4.5,
    service_ms=5.5,
    admit_level=-1,
    path_levels={"a/b": 7},
    work_ms={"room": 1.5},
    slowdown=2.0,
)
ANSWER = Answer(
    status=503,
    headers=[("A", "b")],
    body=Body(b"x"),
    kind=ErrorKind.OVERLOADED,
    effect=Effect.NOT_RUN,
    retry_after_ms=70,
    credits_left=2,
    load=LOAD,
    exhausted=True,
    detail="full",
)
CALL_FRAME = bytes.fromhex(
    "dc00190105a27231a3737663a4504f5354a62f703f713d31a87376632f72656164a36b6579"
    "ceffffffffce0012d687014d0203c2c3c40741006200430064c402626fc20102a461636374"
    "ce7fffffff01ccfa"
)
ANSWER_FRAME = bytes.fromhex(
    "9f0206cd01f70b004602c399010203cb4012000000000000cb4016000000000000ff81a361"
    "2f620781a4726f6f6dcb3ff8000000000000cb4000000000000000a466756c6cc403410062"
    "c40178c3091e"
)
"""Both as 42adb1d encodes them."""


class CallFrameTests(unittest.TestCase):
    def test_frames_have_the_bytes_of_earlier_releases(self):
        frame = call_frames.encode_call(5, CALL, b"bo", False, 1_234_567, 1)
        self.assertEqual(frame, CALL_FRAME)
        frame = call_frames.encode_answer(6, ANSWER, b"x", True, (9, 30))
        self.assertEqual(frame, ANSWER_FRAME)

    def test_call_keeps_its_fields(self):
        at = now()
        call = structs.replace(CALL, expires_at=at + 20.0, due_at=at + 10.0)
        frame = call_frames.encode_call(5, call, b"bo", False, 1_234_567, 1)
        message = call_frames.read_call_frame(frame)
        self.assertEqual((message.id, message.sent_at_us), (5, 1_234_567))
        self.assertEqual((message.last, message.purpose), (False, 1))
        sent = call_frames.decode_call(message, 0.5)
        # The excess of 0.5 s shortens both times.
        self.assertAlmostEqual(sent.expires_at, at + 19.5, delta=0.4)
        self.assertAlmostEqual(sent.due_at, at + 9.5, delta=0.4)
        expected = structs.replace(
            call,
            body=Body(b"bo"),
            attempts=0,
            key_digest="",
            expires_at=sent.expires_at,
            due_at=sent.due_at,
        )
        self.assertEqual(sent, expected)

    def test_answer_keeps_its_fields(self):
        frame = call_frames.encode_answer(6, ANSWER, b"x", True, (9, 30))
        message = call_frames.read_call_frame(frame)
        self.assertEqual((message.id, message.last), (6, True))
        self.assertEqual((message.confirmed_version, message.confirmed_age_ms), (9, 30))
        self.assertEqual(call_frames.decode_answer(message), ANSWER)


if __name__ == "__main__":
    unittest.main()
