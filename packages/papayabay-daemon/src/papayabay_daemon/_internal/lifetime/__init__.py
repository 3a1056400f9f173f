"""Deadlines, timeouts and ranks of requests."""

from papayabay_daemon._internal.lifetime.deadlines import entry_deadline
from papayabay_daemon._internal.lifetime.ranks import per_hop_rank, rank_of

__all__ = ["entry_deadline", "per_hop_rank", "rank_of"]
