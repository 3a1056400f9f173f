"""The callee's side: admission, handing over, the answer's way back."""

from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.lifetime.ranks import per_hop_rank


class Receiver:
    """Takes calls for the target beside this daemon.

    Parameters
    ----------
    components : CallComponents
    tree : CallTree
    chains : ChainModel
    budget : ArrivalBudget
    """

    def __init__(self, components, tree, chains, budget):
        self.components = components
        self.budget = budget
        self.tree = tree
        self.chains = chains

    async def receive(self, call, peer):
        """Run a call on the target and return its answer.

        Parameters
        ----------
        call : Call
        peer : str
            Daemon it came from.

        Returns
        -------
        Answer
            Always; errors are answers here, since they travel back on links.
        """
        self.components.counters.received += 1
        if not self.components.policy().decisions.shared_rank:
            call.rank = per_hop_rank(self.components.random)
        try:
            with self.components.quarantine.guard(call):
                return await self.run_admitted(call)
        except CallError as error:
            return self.refuse(call, error)

    async def run_admitted(self, call):
        """Run a call once it has a slot; raises `CallError` without one."""
        self.check_service(call)
        account = self.budget.check(call)
        ticket = await self.admit(call, account)
        self.budget.record_arrival(call, account)
        answer = await self.hand_over(call, ticket)
        self.budget.record_end(call, account, answer)
        return answer

    def refuse(self, call, error):
        """Return the answer to a call that the target never saw."""
        load = self.components.admission.load(call.path_key)
        self.components.log.note(
            "admission",
            call.request_id,
            outcome=error.kind.name.lower(),
            level=call.level,
            left_ms=round(call.remaining() * 1_000),
            in_flight=load.in_flight,
            queued=load.queued,
            limit=load.limit,
            admits=load.admit_level,
            retry_after_ms=error.retry_after_ms,
        )
        return error_answer(error, call.credits, load)

    async def admit(self, call, account):
        """Wait for a slot; a call that gets none has not arrived."""
        ticket = None
        try:
            ticket = await self.components.admission.admit(call)
            # While it waited in line, a target elsewhere may have ended under
            # the same request.
            self.components.quarantine.check(call)
        except BaseException:
            if ticket is not None:
                ticket.finish(None)
            self.budget.release(call, account)
            raise
        return ticket

    def check_service(self, call):
        """Refuse a call that the target beside this daemon doesn't serve.

        A peer may not have heard yet that a target was withdrawn or that
        this VM now serves something else; its calls must not reach another
        service's target.
        """
        target = self.components.registry.current
        if target is None or target.service != call.service:
            raise CallError(ErrorKind.TARGET_UNREACHABLE, "not announced here")

    async def hand_over(self, call, ticket):
        """Run an admitted call; the slot is given back on every way out."""
        token, live = self.tree.begin(call)
        answer = None
        try:
            answer = await self.components.target.run(call, token)
        except CallError as error:
            answer = error_answer(error)
        finally:
            streamed = answer is not None and not answer.body.is_complete
            if not streamed:
                self.finish(token, live, ticket, answer)
        if streamed:
            answer.body.rest = self.finish_after(
                answer.body.rest, token, live, ticket, answer
            )
        # A target that passes on what failed below it would fail elsewhere
        # too; no daemon above need try.
        answer.exhausted |= live.refused_below and answer.failed
        answer.credits_left = live.account.close()
        answer.load = self.components.admission.load(call.path_key)
        return answer

    async def finish_after(self, rest, token, live, ticket, answer):
        """Pass a streamed body on; the call ends when the body does.

        The target's slot is busy as long as it sends. Were the slot given
        back with the headers, large downloads would pile up in the target
        beyond its limit, unseen by admission.
        """
        ended = None
        try:
            async for part in rest:
                yield part
            ended = answer
        finally:
            self.finish(token, live, ticket, ended)

    def finish(self, token, live, ticket, answer):
        """Give the slot back and forget the call."""
        cut = answer is None or answer.kind is not None
        self.tree.end(token, cancelled=cut)
        ticket.finish(answer)
        if not cut:
            self.chains.note(live.call.path_key, live.called)
