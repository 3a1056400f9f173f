"""What an adapter to a platform is built of; see `environment.Environment`."""

from papayabay_daemon._internal.configuration.watching import (
    VersionWatch,
    VersionWatcher,
)
from papayabay_daemon._internal.doors.body import read_message
from papayabay_daemon._internal.doors.headers import HOP_BY_HOP, HeaderNames
from papayabay_daemon._internal.doors.incoming import (
    CallerDialect,
    Incoming,
    bad_request,
)
from papayabay_daemon._internal.doors.protocol import Door
from papayabay_daemon._internal.doors.response import json_answer
from papayabay_daemon._internal.target.announcement import Announcement
from papayabay_daemon._internal.target.dialect import (
    TargetDialect,
    Verdict,
    encode_head,
    keep_alive_seconds,
    remaining_ms,
    retry_after_ms,
)

__all__ = [
    "HOP_BY_HOP",
    "Announcement",
    "CallerDialect",
    "Door",
    "HeaderNames",
    "Incoming",
    "TargetDialect",
    "Verdict",
    "VersionWatch",
    "VersionWatcher",
    "bad_request",
    "encode_head",
    "json_answer",
    "keep_alive_seconds",
    "read_message",
    "remaining_ms",
    "retry_after_ms",
]
