"""Requests that end the targets which run them, and keeping them away."""

from papayabay_daemon._internal.quarantine.book import QuarantineBook
from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints
from papayabay_daemon._internal.quarantine.gate import QuarantineGate
from papayabay_daemon._internal.quarantine.rows import QuarantineRows
from papayabay_daemon._internal.quarantine.spreading import QuarantineSpread

__all__ = [
    "Fingerprints",
    "QuarantineBook",
    "QuarantineGate",
    "QuarantineRows",
    "QuarantineSpread",
]
