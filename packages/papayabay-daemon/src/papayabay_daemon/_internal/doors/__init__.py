"""HTTP doors: where callers, targets and operators come in."""

from papayabay_daemon._internal.doors.caller import CallerDoor
from papayabay_daemon._internal.doors.incoming import CallFlow, IncomingRequest
from papayabay_daemon._internal.doors.status import StatusDoor
from papayabay_daemon._internal.doors.target import TargetDoor

__all__ = ["CallFlow", "CallerDoor", "IncomingRequest", "StatusDoor", "TargetDoor"]
