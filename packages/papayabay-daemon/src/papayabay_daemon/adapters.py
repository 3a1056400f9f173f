"""Building blocks for platform adapters; see `environment.Environment`."""

from papayabay_daemon._internal.configuration.watching import (
    VersionWatch,
    VersionWatcher,
)
from papayabay_daemon._internal.doors.body import read_message
from papayabay_daemon._internal.doors.headers import (
    AUTHORIZATION_HEADER,
    HOP_BY_HOP,
    HeaderNames,
    challenge,
)
from papayabay_daemon._internal.doors.incoming import (
    CallerDialect,
    IncomingRequest,
    bad_request,
)
from papayabay_daemon._internal.doors.protocol import Door
from papayabay_daemon._internal.doors.response import (
    DoorResponse,
    HttpDate,
    json_answer,
)
from papayabay_daemon._internal.http.serving import ServerConnection
from papayabay_daemon._internal.target.announcement import Announcement
from papayabay_daemon._internal.target.dialect import (
    Attribution,
    TargetDialect,
    Verdict,
    account_line,
    encode_head,
    keep_alive_seconds,
    remaining_ms,
    retry_after_ms,
    target_report,
)
from papayabay_daemon._internal.target.health import ProcessHealth

__all__ = [
    "AUTHORIZATION_HEADER",
    "HOP_BY_HOP",
    "Announcement",
    "Attribution",
    "CallerDialect",
    "Door",
    "DoorResponse",
    "HeaderNames",
    "HttpDate",
    "IncomingRequest",
    "ProcessHealth",
    "ServerConnection",
    "TargetDialect",
    "Verdict",
    "VersionWatch",
    "VersionWatcher",
    "account_line",
    "bad_request",
    "challenge",
    "encode_head",
    "json_answer",
    "keep_alive_seconds",
    "read_message",
    "remaining_ms",
    "retry_after_ms",
    "target_report",
]
