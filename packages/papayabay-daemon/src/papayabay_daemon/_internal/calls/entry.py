"""Root calls of requests: their priority, deadline and due time."""

from papayabay_core.calls import Call
from papayabay_core.importance import RANKS, Importance
from papayabay_core.policy.accounts import Account
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.slack import entry_due_at
from papayabay_daemon._internal.lifetime.deadlines import entry_deadline
from papayabay_daemon._internal.lifetime.ranks import (
    Priority,
    rank_in_account_class,
    rank_of,
    scaled_rank,
)
from papayabay_daemon._internal.lifetime.served_shares import ServedShares
from papayabay_daemon._internal.lifetime.work_order import WorkOrder

UNLIMITED_LIFETIME_SECONDS = 600.0
"""Lifetime of a request if the policy turns deadlines off."""
CRITICAL = Importance.CRITICAL
NO_ACCOUNT = Account(name="", importance=None, limit=None)


class EntryCalls:
    """Makes the root calls of the requests that enter at this daemon.

    Parameters
    ----------
    components : CallComponents
    """

    def __init__(self, components):
        self.components = components
        self.work_order = WorkOrder()
        self.served_shares = ServedShares()

    def create(self, incoming, rule, request_id, identity=None):
        """Return the root call of a request.

        Its class comes from the policy alone, so that no header of a caller
        can raise it.

        Parameters
        ----------
        incoming : IncomingRequest
        rule : CallRule
        request_id : str
        identity : Identity or None
            If its account has a class, it takes precedence over the rule's.
        """
        decisions = self.components.policy().decisions
        lifetime = entry_deadline(rule, incoming.deadline_ms)
        if not decisions.deadlines:
            lifetime = UNLIMITED_LIFETIME_SECONDS
        entered_at = now()
        expires_at = entered_at + lifetime
        due_at = None
        if decisions.queue_order == "due":
            due_at = entry_due_at(rule, entered_at, expires_at)
        account = identity.account if identity else NO_ACCOUNT
        declared = rule.importance if account.importance is None else account.importance
        rank = rank_of(incoming.idempotency_key or request_id)
        priority = self.priority(rule, account, declared, rank, decisions)
        importance = priority.importance
        return Call(
            request_id=request_id,
            service=incoming.service,
            method=incoming.method,
            path=incoming.path,
            headers=incoming.headers,
            body=incoming.body,
            importance=importance,
            rank=priority.rank,
            path_class=int(priority.path_class),
            depth=0,
            expires_at=expires_at,
            due_at=due_at,
            credits=rule.retry_credits,
            idempotent=rule.idempotent,
            idempotency_key=incoming.idempotency_key,
            path_key=rule.path_key,
            attempts=rule.attempts,
            declared_class=None if importance is declared else declared,
            account=account.name,
            key_digest=identity.key_digest if identity else "",
        )

    def priority(self, rule, account, declared, rank, decisions):
        """Return the `Priority` that a request has in all queues.

        Parameters
        ----------
        rule : CallRule
        account : Account
        declared : Importance
            Class that policy gives the request.
        rank : int
        decisions : Decisions
            Of the policy in force.
        """
        by_work = decisions.equals == "work"
        factor = self.work_factor(rule) if by_work else 1.0
        priority = Priority(declared, rule.importance, scaled_rank(rank, factor))
        min_share = decisions.min_served_share
        if rank < min_share * RANKS and self.served_shares.falls_short(
            rule.path_key, min_share
        ):
            # Where lighter paths go first, only a rank like theirs helps.
            factor = self.work_order.smallest_factor(CRITICAL) if by_work else 1.0
            promoted = scaled_rank(rank, factor / min_share)
            priority = priority.promoted(promoted)
            self.components.counters.promoted += 1
        if decisions.account_shares == "max-min":
            # Also for promoted requests: all ranks of a class have one scale.
            factor = self.share_factor(account)
            priority.rank = scaled_rank(priority.rank, factor)
        if account.importance is not None and priority.importance is declared:
            priority.rank = rank_in_account_class(priority.path_class, priority.rank)
        return priority

    def record_end(self, rule, answer):
        """Count a request that entered here, for its path's served share."""
        if self.components.policy().decisions.min_served_share:
            self.served_shares.record(rule.path_key, answer)

    def work_factor(self, rule):
        """Return the factor of a request's rank for the work of its path."""
        path_key = rule.path_key
        work_ms = self.components.router.path_work(rule.service, path_key)
        return self.work_order.factor(rule.importance, path_key, work_ms)

    def work_fields(self, rule):
        """Return the fields of the decision log on the work of a request."""
        if rule is None or self.components.policy().decisions.equals != "work":
            return {}
        work_ms = self.components.router.path_work(rule.service, rule.path_key)
        return {"work_ms": round(work_ms, 1)}

    def share_factor(self, account):
        """Return the multiple of the ranks of an account's requests."""
        shares = self.components.demand_reports.shares
        if account.limit is None:
            return shares.typical_factor()
        return shares.arrived(account)
