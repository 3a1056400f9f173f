"""Quarantine of requests that crash the targets running them."""

from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints
from papayabay_daemon._internal.quarantine.gate import QuarantineGate
from papayabay_daemon._internal.quarantine.propagation import QuarantinePropagation
from papayabay_daemon._internal.quarantine.registry import QuarantineRegistry
from papayabay_daemon._internal.quarantine.rows import QuarantineRows

__all__ = [
    "Fingerprints",
    "QuarantineGate",
    "QuarantinePropagation",
    "QuarantineRegistry",
    "QuarantineRows",
]
