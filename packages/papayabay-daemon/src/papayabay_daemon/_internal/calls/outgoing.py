"""Outgoing calls of the target beside this daemon, made for live calls."""

import xxhash

from papayabay_core.calls import Call
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.lifetime.deadlines import entry_deadline


class OutgoingCalls:
    """Mixin of `CallFlow` that runs the target's calls.

    It uses the flow's `components` and `tree`, and its methods `find_rule` and
    `run`.
    """

    async def handle_outgoing(self, incoming):
        """Answer an outgoing call of the target beside this daemon.

        Raises
        ------
        CallError
            UNKNOWN_CALL if the call has no live parent, TOO_DEEP if the call
            chain is too long, RETRIES_SPENT if the target has repeated the
            call and the credits are exhausted.
        """
        live = self.tree.find(incoming.call_token)
        rule = self.find_rule(incoming)
        self.charge_repeat(live, incoming)
        return await self.run_child(incoming, rule, live)

    def infer_parent(self, incoming):
        """Set a request's token if it is a child of a live call.

        Targets that do not propagate the token send their calls to the
        callers' listener. If each of them were admitted as a request of its
        own, a request that makes nine calls, each refused with a probability
        of one in ten, would seldom succeed.
        """
        if self.components.policy().accounts.by_name:
            self.find_named_parent(incoming)
            return
        expires_at = None
        if incoming.deadline_ms is not None:
            expires_at = now() + incoming.deadline_ms / 1_000
        incoming.call_token = self.tree.parent_of(incoming.parent_id, expires_at)

    def find_named_parent(self, incoming):
        """Set the token of a request without credentials from its parent id.

        Such a request runs with the authorization of its parent call, so a
        matching expiry alone, which may be a coincidence, is not enough.

        Raises
        ------
        CallError
            CALLER_LEFT if the named parent is not running here.
        """
        if incoming.authorization is not None or not incoming.parent_id:
            return
        incoming.call_token = self.tree.parent_of(incoming.parent_id, None)
        if not incoming.call_token:
            raise CallError(ErrorKind.CALLER_LEFT, "its parent does not run here")

    async def run_child(self, incoming, rule, live):
        """Run a call that this daemon's target makes for a live call."""
        self.components.counters.outgoing += 1
        call = self.child_call(incoming, rule, live.call)
        live.count_call(rule.path_key)
        slack = None
        if self.components.policy().decisions.queue_order == "due":
            slack = self.tree.slack
            slack.begin_call(live, call, now())
        try:
            answer = await self.tree.run_while_live(
                live, self.run(call, rule, live.account)
            )
        except CallError as error:
            answer = error_answer(error)
        if slack is not None:
            slack.end_call(live, now())
        live.downstream_failed |= answer.failed
        return answer

    def child_call(self, incoming, rule, parent):
        """Return the outgoing call that a target makes for a live call."""
        depth = parent.depth + 1
        if depth > self.components.settings.limits.depth:
            raise CallError(ErrorKind.TOO_DEEP)
        lifetime = entry_deadline(rule, incoming.deadline_ms)
        return Call(
            request_id=incoming.request_id or parent.request_id,
            service=incoming.service,
            method=incoming.method,
            path=incoming.path,
            headers=incoming.headers,
            body=incoming.body,
            importance=parent.importance,
            rank=parent.rank,
            path_class=parent.path_class,
            depth=depth,
            expires_at=min(parent.expires_at, now() + lifetime),
            credits=0,
            idempotent=rule.idempotent,
            idempotency_key=incoming.idempotency_key,
            path_key=rule.path_key,
            attempts=rule.attempts,
            repeated=parent.repeated,
            declared_class=parent.declared_class,
            account=parent.account,
        )

    def charge_repeat(self, live, incoming):
        """Charge a retry credit if the target has made the same call before.

        A target's own retries multiply at each hop, and only the daemon
        beside the target can see them.
        """
        if self.components.policy().decisions.retries != "credits":
            return
        digest = xxhash.xxh3_64_intdigest(incoming.body.first)
        live.retry_detector.record(
            incoming.service, incoming.method, incoming.path, digest
        )
