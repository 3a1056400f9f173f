"""Bounds of the link protocol; both ends of a link rely on some of them."""

MAX_FRAME_BYTES = 1024 * 1024
MAX_HANDSHAKE_BYTES = 4096
MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - 4096

PART_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024
GRANT_BYTES = WINDOW_BYTES // 4

MAX_CALLS_PER_LINK = 10_000
MAX_REQUESTS_PER_LINK = 256
MAX_LINKS_PER_PEER = 8
MAX_UNPROVEN_LINKS = 256
MAX_PEERS = 20_000

WRITE_HIGH_BYTES = 256 * 1024
WRITE_LIMIT_BYTES = 32 * 1024 * 1024
WRITE_WAIT_SECONDS = 0.25

HANDSHAKE_SECONDS = 2.0
DIAL_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.1
BACKOFF_MAX_SECONDS = 5.0
SEEK_SECONDS = 15.0
"""How long a peer is looked for whose link ended in doubt. Its daemons' gossip
has declared it dead by then, or it answers."""
SEEK_PAUSE_SECONDS = 0.2
IDLE_SECONDS = 60.0
CLOSE_SECONDS = 2.0

OFFSET_BUCKET_US = 60_000_000
STAMP_SECONDS = 30.0
"""Longest time in which a peer that we call sees none of our stamps; half a
bucket, so that each bucket gets one."""
CALLER_SECONDS = 120.0
"""How long after its last call an end still counts as one that calls."""
RARE_STAMP_SECONDS = 300.0
"""The same for a peer that we don't call. Clocks that drift apart by 50 parts
in a million differ by 15 ms after it."""
QUIET_SECONDS = 30.0
"""Longest time without a frame, after which the end that dialled asks."""
ACCEPTED_GRACE_SECONDS = 3.0
"""How much longer the other end waits, so that only one of them asks."""
LOG_PERIOD_SECONDS = 10.0
