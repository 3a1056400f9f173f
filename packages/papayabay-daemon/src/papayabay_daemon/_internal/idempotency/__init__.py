"""At-most-once execution of non-idempotent calls by idempotency key."""

from papayabay_daemon._internal.idempotency.gate import IdempotencyGate

__all__ = ["IdempotencyGate"]
