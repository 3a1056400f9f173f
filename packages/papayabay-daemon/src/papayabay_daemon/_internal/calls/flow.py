"""Calls that begin at this daemon: callers' requests, and its target's own."""

import asyncio

import xxhash

from papayabay_core.calls import Call
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.policy.accounts import Account
from papayabay_core.utils.clock import now
from papayabay_core.utils.identifiers import new_identifier
from papayabay_daemon._internal.calls.answers import (
    REQUEST_HEADER,
    answer_or_error,
    error_answer,
)
from papayabay_daemon._internal.lifetime.deadlines import entry_deadline
from papayabay_daemon._internal.lifetime.ranks import (
    effective_priority,
    rank_in_account_class,
    rank_of,
)
from papayabay_daemon._internal.retries import CreditAccount

UNLIMITED_SECONDS = 600.0
"""Life of a request where policy turns deadlines off."""
NO_ACCOUNT = Account(name="", importance=None, limit=None)


class CallFlow:
    """Enters requests and makes the outgoing calls of the own target.

    Parameters
    ----------
    components : CallComponents
    tree : CallTree
    dispatcher : Dispatcher
    gate : IdempotencyGate
        Lets a call with a key run at most once.
    accounts : KeyAccounts
        Retry credits of requests whose callers repeat them.
    objectives : ObjectiveCounters
        Counts good and bad requests for the burn report.
    pause : PauseDetector
        Refuses what waited unread while this process was stopped.
    """

    def __init__(self, components, tree, dispatcher, gate, accounts, objectives, pause):
        self.components = components
        self.tree = tree
        self.dispatcher = dispatcher
        self.gate = gate
        self.accounts = accounts
        self.objectives = objectives
        self.pause = pause
        self.draining = False
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def enter(self, incoming):
        """Answer a caller's request.

        Parameters
        ----------
        incoming : Incoming

        Returns
        -------
        Answer
            Always; errors too, with the request's identifier.
        """
        self.components.counters.entered += 1
        request_id = incoming.request_id or new_identifier()
        started = now()
        rule = None
        self.begin()
        try:
            self.pause.check()
            self.infer_parent(incoming)
            rule = self.rule_of(incoming)
            answer = await self.run_entered(incoming, rule, request_id)
        except CallError as error:
            answer = error_answer(error)
        except asyncio.CancelledError:
            self.components.counters.left += 1
            raise
        finally:
            self.end()
        elapsed = now() - started
        self.count(rule, answer, elapsed)
        if answer.kind is not None:
            self.components.log.ended(
                request_id,
                answer,
                method=incoming.method,
                service=incoming.service,
                path=rule.path_key if rule else incoming.path,
                parent=incoming.call_token,
                account=incoming.account,
                took_ms=round(elapsed * 1_000, 1),
            )
        if not incoming.request_id:
            answer.headers = [*answer.headers, (REQUEST_HEADER, request_id)]
        return answer

    def begin(self):
        """Note one more request that a shutdown has to wait for."""
        self.in_flight += 1
        self.idle.clear()

    def end(self):
        """Note the end of a request."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    def rule_of(self, incoming):
        """Return the policy's rule for a call; refuse a strange service."""
        if self.draining and not incoming.call_token:
            raise CallError(ErrorKind.LEAVING, "this entry is leaving")
        policy = self.components.policy()
        if incoming.host:
            return self.route(policy, incoming)
        if not policy.has_service(incoming.service):
            raise unknown_service(policy, incoming.service)
        return policy.rule_for(incoming.service, incoming.method, incoming.path)

    def route(self, policy, incoming):
        """Return the rule of a request that names host and path only."""
        route = policy.routes.find(incoming.host, incoming.path)
        if route is None:
            raise unknown_service(policy, "no route takes this host and path")
        rule = route.pick(self.components.random)
        incoming.service = rule.service
        return rule

    async def run_entered(self, incoming, rule, request_id):
        """Make a caller's request a call, and run it."""
        if incoming.call_token:
            live = self.tree.find(incoming.call_token)
            return await self.run_child(incoming, rule, live)
        identity = await self.components.accounts.authenticate(incoming, rule)
        call = self.entry_call(incoming, rule, request_id, identity)
        if identity is None:
            return await self.run_root(call, rule)
        incoming.account = identity.account.name
        return await self.run_limited(call, rule, identity.account)

    async def run_limited(self, call, rule, account):
        """Run a caller's request if its account is within its limit.

        One that would be refused for load anyway takes no token, and the token
        of one that has not run is given back: else the repeats of an overload
        would use up the limits of accounts that are served little.
        """
        if account.limit is not None:
            self.components.router.check(call)
        await self.components.limits.acquire(account, rule)
        answer = await self.run_root(call, rule)
        if answer.effect is Effect.NOT_RUN:
            self.components.limits.refund(account)
        return answer

    async def run_root(self, call, rule):
        """Run the root call of a request."""
        if not self.components.policy().decisions.deadlines:
            return await self.run_to_the_end(call, rule)
        return await self.run(call, rule, None)

    async def run_to_the_end(self, call, rule):
        """Run a call whose caller's leaving cancels nothing downstream."""
        return await asyncio.shield(asyncio.ensure_future(self.run(call, rule, None)))

    async def run(self, call, rule, account):
        """Dispatch a call, by way of the gate where it may run only once.

        Parameters
        ----------
        call : Call
        rule : CallRule
        account : CreditAccount or None
            Of the call it is made for; None at the entry, where credits are
            minted with the first dispatch. A repeat that the gate answers
            from its records costs none.
        """

        async def dispatch(gated):
            paying = self.entry_account(gated) if account is None else account
            return await self.dispatcher.dispatch(gated, paying)

        if rule.idempotent or rule.at_most_once == "attempt":
            return await dispatch(call)
        if not call.idempotency_key:
            if call.depth == 0:
                raise CallError(ErrorKind.KEY_MISSING)
            return await dispatch(call)
        return await self.gate.run(call, rule, dispatch)

    def entry_account(self, call):
        """Return the account of a whole request, by its key if it has one.

        Raises
        ------
        CallError
            RETRIES_SPENT for a caller's repeat beyond the credits.
        """
        if self.components.policy().decisions.retries != "credits":
            return CreditAccount(call.credits)
        return self.accounts.account_for(
            call.service, call.idempotency_key, call.credits
        )

    async def handle_forwarded(self, call, peer):
        """Answer a call that a peer forwarded to its key's home.

        Returns
        -------
        Answer
            Always; errors too.
        """
        self.components.counters.forwarded += 1
        self.begin()
        try:
            return await answer_or_error(self.gate.handle_forwarded(call, peer))
        finally:
            self.end()

    async def dispatch_forwarded(self, call):
        """Dispatch a forwarded call that its gate has let through."""
        return await self.dispatcher.dispatch(call, self.entry_account(call))

    def entry_call(self, incoming, rule, request_id, identity=None):
        """Return the root call of a request.

        The class comes from policy alone: a caller's header can't raise it.

        Parameters
        ----------
        incoming : Incoming
        rule : CallRule
        request_id : str
        identity : Identity or None
            The class of its account takes precedence over the rule's.
        """
        decisions = self.components.policy().decisions
        life = entry_deadline(rule, incoming.deadline_ms)
        if not decisions.deadlines:
            life = UNLIMITED_SECONDS
        account = identity.account if identity else NO_ACCOUNT
        declared = rule.importance if account.importance is None else account.importance
        rank = rank_of(incoming.idempotency_key or request_id)
        importance, rank = effective_priority(declared, rank, decisions.kept_share)
        if account.importance is not None and importance is declared:
            rank = rank_in_account_class(rule.importance, rank)
        return Call(
            request_id=request_id,
            service=incoming.service,
            method=incoming.method,
            path=incoming.path,
            headers=incoming.headers,
            body=incoming.body,
            importance=importance,
            rank=rank,
            depth=0,
            expires_at=now() + life,
            credits=rule.retry_credits,
            idempotent=rule.idempotent,
            idempotency_key=incoming.idempotency_key,
            path_key=rule.path_key,
            attempts=rule.attempts,
            declared_class=None if importance is declared else declared,
            account=account.name,
            key_digest=identity.key_digest if identity else "",
        )

    def count(self, rule, answer, elapsed):
        """Count a request's end by kind, and against its objective."""
        name = answer.kind.name if answer.kind else "ANSWERED"
        answered = self.components.counters.answered
        answered[name] = answered.get(name, 0) + 1
        if rule is not None:
            self.components.latencies.request_ended(rule.path_key, answer, elapsed)
            self.objectives.note(rule, answer, elapsed)

    async def call_out(self, incoming):
        """Answer an outgoing call of the target beside this daemon.

        Raises
        ------
        CallError
            UNKNOWN_CALL for a call that belongs to no live one, TOO_DEEP,
            RETRIES_SPENT for a repeat beyond the credits.
        """
        live = self.tree.find(incoming.call_token)
        rule = self.rule_of(incoming)
        self.debit_repeat(live, incoming)
        return await self.run_child(incoming, rule, live)

    def infer_parent(self, incoming):
        """Tie a request to the call that the own target makes it for.

        Where targets don't pass a token on, their calls come in by the
        callers' door. Taken for requests of their own they would be refused
        one by one: a request that makes nine calls, each refused with one
        chance in ten, would hardly ever end well.
        """
        if not self.components.settings.calls.infer_parents:
            return
        if self.components.accounts.is_on:
            self.find_parent(incoming)
            return
        expires_at = None
        if incoming.deadline_ms is not None:
            expires_at = now() + incoming.deadline_ms / 1_000
        incoming.call_token = self.tree.parent_of(incoming.parent_id, expires_at)

    def find_parent(self, incoming):
        """Tie a request without a key to the call that it names.

        Such a request runs on the authority of its parent, for which an end of
        life that happens to be the same is not enough.

        Raises
        ------
        CallError
            CALLER_LEFT for a call whose parent does not run here any more.
        """
        if incoming.authorization is not None or not incoming.parent_id:
            return
        incoming.call_token = self.tree.parent_of(incoming.parent_id, None)
        if not incoming.call_token:
            raise CallError(ErrorKind.CALLER_LEFT, "its parent does not run here")

    async def run_child(self, incoming, rule, live):
        """Run a call that the own target makes for a live one."""
        self.components.counters.outgoing += 1
        call = self.child_call(incoming, rule, live.call)
        live.called.add(rule.path_key)
        answer = await answer_or_error(
            self.tree.while_wanted(live, self.run(call, rule, live.account))
        )
        live.refused_below |= answer.failed
        return answer

    def child_call(self, incoming, rule, parent):
        """Return the call that a target makes for a live one."""
        depth = parent.depth + 1
        if depth > self.components.settings.limits.depth:
            raise CallError(ErrorKind.TOO_DEEP)
        life = entry_deadline(rule, incoming.deadline_ms)
        return Call(
            request_id=incoming.request_id or parent.request_id,
            service=incoming.service,
            method=incoming.method,
            path=incoming.path,
            headers=incoming.headers,
            body=incoming.body,
            importance=parent.importance,
            rank=parent.rank,
            depth=depth,
            expires_at=min(parent.expires_at, now() + life),
            credits=0,
            idempotent=rule.idempotent,
            idempotency_key=incoming.idempotency_key,
            path_key=rule.path_key,
            attempts=rule.attempts,
            repeated=parent.repeated,
            declared_class=parent.declared_class,
            account=parent.account,
        )

    def debit_repeat(self, live, incoming):
        """Take a credit for a call that the target has made before.

        Targets that retry on their own would multiply retries at each hop,
        unseen by any daemon but the one beside them.
        """
        if self.components.policy().decisions.retries != "credits":
            return
        digest = xxhash.xxh3_64_intdigest(incoming.body.first)
        live.repeats.record(incoming.service, incoming.method, incoming.path, digest)


def unknown_service(policy, service):
    """Return the error for a service that the policy doesn't name.

    A daemon that has just started takes calls before it has heard of any
    configuration. Were they told that nobody names the service, and never to
    come back, callers would give up requests that any other daemon, or this
    one a moment later, would serve.
    """
    if policy.version == 0:
        detail = "no configuration is in force at this daemon yet"
        return CallError(ErrorKind.NO_UPSTREAM, detail)
    return CallError(ErrorKind.UNKNOWN_SERVICE, service)
