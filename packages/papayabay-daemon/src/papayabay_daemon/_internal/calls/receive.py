"""Callee side of a call: admission, the run on the target and the answer."""

from copy import copy
from functools import partial

from papayabay_core.calls import Body
from papayabay_core.errors import KIND_LABELS, NOT_RUN, CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.calls.run_body import RunBody
from papayabay_daemon._internal.lifetime.ranks import per_hop_rank


class Receiver:
    """Runs received calls on the target beside this daemon.

    Parameters
    ----------
    components : CallComponents
    tree : CallTree
    run_counts : RunCounts
    budget : ArrivalBudget
    """

    def __init__(self, components, tree, run_counts, budget):
        self.components = components
        self.budget = budget
        self.tree = tree
        self.run_counts = run_counts

    async def receive(self, call, peer):
        """Run a call on the target and return its answer.

        Parameters
        ----------
        call : Call
        peer : str
            Name of the daemon that sent it.

        Returns
        -------
        Answer
            Errors are returned as answers too, to be sent back over the link.
        """
        components = self.components
        components.counters.received += 1
        if not components.policy().decisions.shared_rank:
            call.rank = per_hop_rank(components.random)
        is_suspect = False
        # One coroutine from admission to the answer: each further one is
        # resumed once more for each call.
        try:
            is_suspect = components.quarantine.start_run(call)
            target = components.registry.current
            # A peer may not know yet that a target was withdrawn or that this
            # VM now serves another service.
            if target is None or target.service != call.service:
                raise CallError(ErrorKind.TARGET_UNREACHABLE, "not announced here")
            horizon = components.run_horizon
            if horizon.ends_at is not None:
                horizon.check(call.path_key, call.idempotent, call.remaining())
            account = self.budget.check(call)
            ticket = await self.admit(call, account)
            self.budget.record_arrival(call, account)
            token, live = self.tree.begin(call)
            begun_at = horizon.clock()
            answer = None
            try:
                answer = await components.target.run(call, token)
            except CallError as error:
                answer = error_answer(error)
            finally:
                if answer is None:
                    self.finish(token, live, ticket, None)
            if answer.effect is not NOT_RUN:
                elapsed = horizon.clock() - begun_at
                horizon.durations.record(call.path_key, elapsed)
            self.complete(token, live, ticket, answer)
            self.budget.record_end(call, account, answer)
            return answer
        except CallError as error:
            return self.refuse(call, error)
        finally:
            if is_suspect:
                components.quarantine.end_run()

    def refuse(self, call, error):
        """Log the refusal of a call and return the answer for it."""
        load = self.components.admission.load(call.path_key)
        self.components.log.record(
            "admission", call.request_id, refusal_inputs, call, error, load
        )
        return error_answer(error, call.credits, load)

    async def admit(self, call, account):
        """Wait for a slot and return its ticket.

        A call that gets no slot does not count as arrived in the budget.
        """
        ticket = None
        try:
            ticket = await self.components.admission.admit(call)
            # While the call was queued, its request may have been quarantined
            # because it crashed a target elsewhere.
            self.components.quarantine.check(call)
        except BaseException:
            if ticket is not None:
                ticket.finish(None)
            self.budget.release(call, account)
            raise
        return ticket

    def complete(self, token, live, ticket, answer):
        """Release the slot once the target's answer has ended."""
        body = answer.body
        if body.rest is None:
            self.finish(token, live, ticket, answer)
        else:
            # The slot stays in use as long as the target sends. If it were
            # released with the headers, large downloads would accumulate in
            # the target beyond its limit without admission noticing.
            end_run = partial(self.end_run, token, live, ticket, without_body(answer))
            body.rest = RunBody(body.rest, end_run)
        # A target that failed because one of its own calls failed would fail
        # elsewhere too, so no daemon on the caller's side needs to retry.
        if live.downstream_failed and answer.failed:
            answer.exhausted = True
        answer.credits_left = live.account.close()
        answer.load = self.components.admission.load(live.call.path_key)

    def end_run(self, token, live, ticket, answer, complete):
        """End a call whose streamed answer was complete or broke off."""
        self.finish(token, live, ticket, answer if complete else None)

    def finish(self, token, live, ticket, answer):
        """Release the slot and remove the call from the call tree."""
        cut_off = answer is None or answer.kind is not None
        self.tree.end(token, cut_off)
        ticket.finish(answer)
        if cut_off:
            return
        self.run_counts.run_ended(live, answer)
        if live.steps is not None and not answer.failed:
            self.tree.slack.end_run(live, now())


def without_body(answer):
    """Return a copy of an answer without its body.

    A body that referred to its own answer would be freed late, and with it
    the slot of an answer that is dropped.
    """
    copied = copy(answer)
    copied.body = Body()
    return copied


def refusal_inputs(call, error, load):
    """Return the inputs of the decision line on a refused call."""
    return {
        "outcome": KIND_LABELS[error.kind],
        "level": call.level,
        "left_ms": round(call.remaining() * 1_000),
        "in_flight": load.in_flight,
        "queued": load.queued,
        "limit": load.limit,
        "admits": load.admit_level,
        "retry_after_ms": error.retry_after_ms,
    }
