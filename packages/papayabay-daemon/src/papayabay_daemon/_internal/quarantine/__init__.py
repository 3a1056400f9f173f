"""Requests that end the targets which run them."""

from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints

__all__ = ["Fingerprints"]
