"""The daemon's HTTP listeners, called doors.

Callers, the target beside the daemon, and operators each have their own.
"""

from papayabay_daemon._internal.doors.caller import CallerDoor
from papayabay_daemon._internal.doors.incoming import CallFlow, IncomingRequest
from papayabay_daemon._internal.doors.status import StatusDoor
from papayabay_daemon._internal.doors.target import TargetDoor

__all__ = ["CallFlow", "CallerDoor", "IncomingRequest", "StatusDoor", "TargetDoor"]
