"""The target beside this daemon: registry, discovery and HTTP client."""

from papayabay_daemon._internal.target.announcement import Announcement
from papayabay_daemon._internal.target.client import HttpTargetClient
from papayabay_daemon._internal.target.registry import TargetRegistry

__all__ = ["Announcement", "HttpTargetClient", "TargetRegistry"]
