"""Calls that start at this daemon: requests of callers and of its target."""

import asyncio
from functools import partial

from papayabay_core.errors import KIND_NAMES, NOT_RUN, CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_core.utils.identifiers import new_identifier
from papayabay_daemon._internal.calls.answers import (
    REQUEST_HEADER,
    answer_or_error,
    error_answer,
)
from papayabay_daemon._internal.calls.entry import EntryCalls
from papayabay_daemon._internal.calls.outgoing import OutgoingCalls
from papayabay_daemon._internal.lifetime.deadlines import entry_deadline
from papayabay_daemon._internal.retries import CreditAccount


class CallFlow(OutgoingCalls):
    """Runs callers' requests and the outgoing calls of the daemon's target.

    Parameters
    ----------
    components : CallComponents
    tree : CallTree
    dispatcher : Dispatcher
    gate : IdempotencyGate
        Runs a call with an idempotency key at most once.
    accounts : KeyAccounts
        Retry credits of requests, by idempotency key.
    objectives : ObjectiveCounters
        Counts good and bad requests for the burn report.
    pause : PauseDetector
        Refuses requests that waited while this process was suspended.

    Attributes
    ----------
    draining : bool
        Whether new requests of callers are refused.
    in_flight : int
        Requests that a shutdown has to wait for.
    running : set of asyncio.Task
        Tasks of the callers' requests that have no answer yet.
    is_cutting_off : bool
        Whether a cancelled request is answered, as this daemon stops.
    idle : asyncio.Event
        Set while there are none.
    """

    def __init__(self, components, tree, dispatcher, gate, accounts, objectives, pause):
        self.components = components
        self.tree = tree
        self.dispatcher = dispatcher
        self.gate = gate
        self.accounts = accounts
        self.objectives = objectives
        self.pause = pause
        self.entries = EntryCalls(components)
        self.draining = False
        self.in_flight = 0
        self.running = set()
        self.is_cutting_off = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def handle_request(self, incoming):
        """Answer a caller's request.

        Parameters
        ----------
        incoming : IncomingRequest

        Returns
        -------
        Answer
            Errors are returned as answers too. An answer has the request's
            identifier as a header if the caller sent none.
        """
        components = self.components
        components.counters.entered += 1
        request_id = incoming.request_id or new_identifier()
        started = now()
        rule = identity = None
        self.begin_request()
        task = asyncio.current_task()
        self.running.add(task)
        try:
            self.pause.check()
            policy = components.policy()
            if components.settings.calls.infer_parents:
                self.infer_parent(incoming)
            rule = self.find_rule(incoming)
            horizon = components.request_horizon
            if horizon.ends_at is not None and not incoming.call_token:
                lifetime = entry_deadline(rule, incoming.deadline_ms)
                horizon.check(rule.path_key, rule.idempotent, lifetime)
            if policy.accounts.by_name and not incoming.call_token:
                identity = await components.accounts.authenticate(incoming, rule)
            answer = await self.run_request(incoming, rule, request_id, identity)
        except CallError as error:
            answer = error_answer(error)
        except asyncio.CancelledError:
            if not self.is_cutting_off:
                components.counters.left += 1
                raise
            task.uncancel()
            detail = "cut off, as this daemon stops"
            answer = error_answer(CallError(ErrorKind.TARGET_LOST, detail))
        finally:
            self.running.discard(task)
            self.end_request()
        elapsed = now() - started
        self.count_answer(rule, answer, elapsed)
        if rule is not None and answer.effect is not NOT_RUN:
            horizon.durations.record(rule.path_key, elapsed)
        if rule is not None and not incoming.call_token:
            self.entries.record_end(rule, answer)
        if answer.kind is not None and components.log.acquire():
            self.log_answer(incoming, request_id, rule, answer, elapsed)
        if not incoming.request_id:
            answer.headers = [*answer.headers, (REQUEST_HEADER, request_id)]
        return answer

    def log_answer(self, incoming, request_id, rule, answer, elapsed):
        """Write the line of a request that papayabay itself answered."""
        inputs = {
            "method": incoming.method,
            "service": incoming.service,
            "path": rule.path_key if rule else incoming.path,
            "parent": incoming.call_token,
            "account": incoming.account,
            "took_ms": round(elapsed * 1_000, 1),
            **self.entries.work_fields(rule),
        }
        self.components.log.write_answer(request_id, answer, inputs)

    def begin_request(self):
        """Count a request that a shutdown has to wait for."""
        if self.in_flight == 0:
            self.idle.clear()
        self.in_flight += 1

    def end_request(self):
        """Stop counting a request that has ended."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self.idle.set()

    def cut_off(self):
        """Answer all requests that have no answer yet.

        Their effect is unknown. A closed connection would tell no more.
        """
        self.is_cutting_off = True
        for task in self.running:
            task.cancel()

    def find_rule(self, incoming):
        """Return the policy's rule for a call.

        Raises
        ------
        CallError
            LEAVING for a caller's request while draining; UNKNOWN_SERVICE or
            NO_UPSTREAM if the policy does not name the service; NO_UPSTREAM
            if it disables the route.
        """
        if self.draining and not incoming.call_token:
            raise CallError(ErrorKind.LEAVING, "this entry is leaving")
        policy = self.components.policy()
        if incoming.host:
            route = policy.routes.find(incoming.host, incoming.path)
            if route is None:
                raise self.unknown_service(policy, "no route takes this host and path")
            rule = route.pick(self.components.random)
            if rule is None:
                raise CallError(ErrorKind.NO_UPSTREAM, "the route is disabled")
            incoming.service = rule.service
            return rule
        if not policy.has_service(incoming.service):
            raise self.unknown_service(policy, incoming.service)
        return policy.rule_for(incoming.service, incoming.method, incoming.path)

    def unknown_service(self, policy, detail):
        """Return the error for a service or route that the policy lacks.

        A daemon accepts calls before it has received a configuration, and
        while it knows of a newer one that is not in force here. Its error
        then has to allow retries, as any other daemon, or this one a moment
        later, may serve the request.
        """
        if policy.version == 0:
            reason = "no configuration is in force at this daemon yet"
            return CallError(ErrorKind.NO_UPSTREAM, reason)
        if self.components.accounts.freshness.is_behind():
            reason = "a newer configuration is not in force at this daemon yet"
            return CallError(ErrorKind.NO_UPSTREAM, reason)
        return CallError(ErrorKind.UNKNOWN_SERVICE, detail)

    # The functions without `async` return a coroutine of the next layer: each
    # layer that only awaits another one costs every call a coroutine more.

    def run_request(self, incoming, rule, request_id, identity=None):
        """Run a caller's request as a root call, or as a live call's child.

        Parameters
        ----------
        incoming : IncomingRequest
        rule : CallRule
        request_id : str
        identity : Identity or None
            The account that the request was authenticated for.
        """
        if incoming.call_token:
            live = self.tree.find(incoming.call_token)
            return self.run_child(incoming, rule, live)
        call = self.entries.create(incoming, rule, request_id, identity)
        if identity is not None:
            incoming.account = identity.account.name
        return self.run_entered(call, rule, identity)

    def run_entered(self, call, rule, identity):
        """Run a caller's request, within its account's limit if it has one."""
        if identity is None:
            return self.run_root(call, rule)
        account = identity.account
        running = self.run_limited(call, rule, account)
        if has_share(account, self.components.policy().decisions):
            return self.components.demand_reports.watch(account, running)
        return running

    async def run_limited(self, call, rule, account):
        """Run a caller's request if its account is within its limit.

        A request that would be refused for load takes no token, and the token
        of a request that was not run is returned. Otherwise the retries in an
        overload would exhaust the limits of accounts that get little service.
        """
        if account.limit is not None:
            self.components.router.check(call)
        await self.components.limits.acquire(account)
        answer = await self.run_root(call, rule)
        if answer.effect is NOT_RUN:
            self.components.limits.refund(account)
        return answer

    def run_root(self, call, rule):
        """Run the root call of a request."""
        if not self.components.policy().decisions.deadlines:
            return self.run_shielded(call, rule)
        return self.run(call, rule, None)

    async def run_shielded(self, call, rule):
        """Run a call to its end even if its caller disconnects."""
        return await asyncio.shield(asyncio.ensure_future(self.run(call, rule, None)))

    def run(self, call, rule, account):
        """Dispatch a call, through the gate if it may run at most once.

        Errors are raised by the coroutine that is returned, not here.

        Parameters
        ----------
        call : Call
        rule : CallRule
        account : CreditAccount or None
            Retry credits of the parent call. None at the entry, where they
            are created with the first dispatch; a repeat that the gate
            answers from its records costs none.
        """
        if not rule.idempotent and rule.at_most_once != "attempt":
            if call.idempotency_key:
                dispatch = partial(self.dispatch, account=account)
                return self.gate.run(call, rule, dispatch)
            if call.depth == 0:
                return self.refuse_without_key()
        if account is None:
            if call.idempotency_key:
                return self.dispatch(call)
            account = CreditAccount(call.credits)
        return self.dispatcher.dispatch(call, account)

    async def refuse_without_key(self):
        """Refuse a call that may run at most once and has no key."""
        raise CallError(ErrorKind.KEY_MISSING)

    async def dispatch(self, call, account=None):
        """Dispatch a call with an idempotency key; see `run`.

        Also one that a peer forwarded and the gate has admitted.
        """
        if account is None:
            account = self.entry_account(call)
        return await self.dispatcher.dispatch(call, account)

    def entry_account(self, call):
        """Return the retry credits of a whole request.

        Requests with the same idempotency key share them.

        Raises
        ------
        CallError
            RETRIES_SPENT if the caller's repeats have exhausted the credits.
        """
        if self.components.policy().decisions.retries != "credits":
            return CreditAccount(call.credits)
        return self.accounts.account_for(
            call.service, call.idempotency_key, call.credits
        )

    async def handle_forwarded(self, call, peer):
        """Answer a call that a peer forwarded because of its key.

        Returns
        -------
        Answer
            Errors are returned as answers too.
        """
        self.components.counters.forwarded += 1
        self.begin_request()
        try:
            return await answer_or_error(self.gate.handle_forwarded(call, peer))
        finally:
            self.end_request()

    def count_answer(self, rule, answer, elapsed):
        """Count a request's answer by error kind and for its objective."""
        name = KIND_NAMES[answer.kind] if answer.kind else "ANSWERED"
        answered = self.components.counters.answered
        answered[name] = answered.get(name, 0) + 1
        if rule is not None:
            self.components.latencies.request_ended(rule.path_key, answer, elapsed)
            self.objectives.record(rule, answer, elapsed)


def has_share(account, decisions):
    """Return whether capacity is divided between an account and others."""
    return decisions.account_shares == "max-min" and account.limit is not None
