"""Encodes Cap'n Proto frames: all frames but calls and answers.

Calls and answers use a faster format; see `call_frames`.
"""

from papayabay_core.wire import schema

new_frame = schema.Frame.new_message
read_frame = schema.Frame.from_bytes


def encode_fields(name, **fields):
    """Return a frame of a message whose fields are plain values."""
    frame = new_frame()
    message = frame.init(name)
    for field, value in fields.items():
        setattr(message, field, value)
    return frame.to_bytes()


def encode_number(name, number):
    """Return a frame that holds one number, such as a ping."""
    frame = new_frame()
    setattr(frame, name, number)
    return frame.to_bytes()


def encode_leaving():
    """Return the frame that announces that this daemon is leaving."""
    frame = new_frame()
    frame.leaving = None
    return frame.to_bytes()


def encode_proof(proof):
    """Return the frame with the proof that this end knows the secret."""
    frame = new_frame()
    frame.proof = proof
    return frame.to_bytes()


def encode_part(number, data, of_answer, last=False, failed=False):
    """Return a frame with one more part of a streamed body."""
    frame = new_frame()
    message = frame.init("bodyPart")
    message.id = number
    message.data = data
    message.last = last
    message.failed = failed
    message.ofAnswer = of_answer
    return frame.to_bytes()


def encode_window(number, size, of_answer):
    """Return a frame that lets the peer send more bytes of a body."""
    return encode_fields("window", id=number, bytes=size, ofAnswer=of_answer)


def encode_request(number, topic, payload):
    """Return a control request's frame."""
    return encode_fields("request", id=number, topic=topic, payload=payload)


def encode_reply(number, ok, payload):
    """Return a control reply's frame."""
    return encode_fields("reply", id=number, ok=ok, payload=payload)


def encode_retire():
    """Return the frame that says that no new calls follow on the link."""
    frame = new_frame()
    frame.retire = None
    return frame.to_bytes()
