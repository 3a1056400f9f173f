@0xc1f7a9d0b35e8a41;
# Frames between two papayabay daemons on one TCP link. Each frame is sent as
# a 4-byte big-endian length followed by one unpacked Cap'n Proto message, or by
# a call or an answer in MessagePack, whose first byte is 0x90 or above.

struct Hello {
  # First frame in both directions.
  protocol @0 :UInt16;
  cluster @1 :Text;
  daemon @2 :Text;
  incarnation @3 :UInt64;
  nonce @4 :Data;
}

struct BodyPart {
  id @0 :UInt64;
  data @1 :Data;
  last @2 :Bool;
  failed @3 :Bool;           # the sender can't complete this body
  ofAnswer @4 :Bool;
}

struct Window {
  # Grants the peer more bytes of one streamed body.
  id @0 :UInt64;
  bytes @1 :UInt32;
  ofAnswer @2 :Bool;
}

struct Request {
  # A control request to a peer, answered by a Reply with the same id.
  id @0 :UInt64;
  topic @1 :Text;
  payload @2 :Data;
}

struct Reply {
  id @0 :UInt64;
  ok @1 :Bool;
  payload @2 :Data;
}

struct Frame {
  union {
    hello @0 :Hello;
    reserved1 @1 :Void;      # calls and answers are MessagePack frames
    reserved2 @2 :Void;
    bodyPart @3 :BodyPart;
    window @4 :Window;
    cancel @5 :UInt64;
    ping @6 :UInt64;
    pong @7 :UInt64;
    leaving @8 :Void;
    request @9 :Request;
    reply @10 :Reply;
    proof @11 :Data;         # HMAC over both hellos; follows the hello
    retire @12 :Void;        # no new calls from this side on this link
  }
}
