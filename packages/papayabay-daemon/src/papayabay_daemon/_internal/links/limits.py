"""Limits of the link protocol.

Both ends must agree on the sizes of frames, parts and windows.
"""

MAX_FRAME_BYTES = 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096
MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 4096

PART_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024
GRANT_BYTES = WINDOW_BYTES // 4

MAX_CALLS_PER_LINK = 10_000
MAX_REQUESTS_PER_LINK = 256
MAX_LINKS_PER_PEER = 8
MAX_UNAUTHENTICATED_LINKS = 256
MAX_PEERS = 20_000

WRITE_HIGH_BYTES = 256 * 1024
WRITE_LIMIT_BYTES = 32 * 1024 * 1024
WRITE_WAIT_SECONDS = 0.25

HANDSHAKE_SECONDS = 2.0
DIAL_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 2.0
"""Longest time between two dials of a peer. A link has to be open again
within 3 s after a partition, also to a peer that gossip probes seldom."""
RECONNECT_SECONDS = 15.0
"""How long an unresponsive peer is redialled after its link was closed. By
then gossip has declared it dead, or it answers again."""
RECONNECT_PAUSE_SECONDS = 0.2
IDLE_SECONDS = 60.0
CLOSE_SECONDS = 2.0

OFFSET_BUCKET_US = 60_000_000
STAMP_SECONDS = 30.0
"""Longest interval between clock stamps sent to a peer that gets calls from
this daemon: half an offset bucket, so that each bucket gets a stamp."""
CALLER_SECONDS = 120.0
"""How long after its last call an end still counts as a caller."""
RARE_STAMP_SECONDS = 300.0
"""Longest interval between clock stamps sent to any other peer. Clocks that
drift apart by 50 parts per million differ by 15 ms after it."""
KEEPALIVE_SECONDS = 30.0
"""Time without a received frame after which the dialling end of an idle link
sends a heartbeat."""
ACCEPTED_GRACE_SECONDS = 3.0
"""How much longer the accepting end waits, so that only one end sends it."""
LOG_PERIOD_SECONDS = 10.0
