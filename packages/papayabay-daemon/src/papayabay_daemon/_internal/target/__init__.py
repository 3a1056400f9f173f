"""The target beside this daemon: registry, discovery and HTTP client."""

from papayabay_daemon._internal.target.announcement import Announcement
from papayabay_daemon._internal.target.client import HttpTargetClient
from papayabay_daemon._internal.target.health import TargetHealth
from papayabay_daemon._internal.target.registry import TargetRegistry
from papayabay_daemon._internal.target.verification import TargetVerifier

__all__ = [
    "Announcement",
    "HttpTargetClient",
    "TargetHealth",
    "TargetRegistry",
    "TargetVerifier",
]
