"""The caller's side: attempts at upstreams until one answers for good."""

import asyncio
from dataclasses import replace

from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.decision_log import outcome_of
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout
from papayabay_daemon._internal.retries import Attempts

ANSWER_GRACE_SECONDS = 0.02
"""How long an ended call waits for the callee's own, more exact word."""


class Dispatcher:
    """Sends calls to upstreams, and retries within the request's credits.

    Parameters
    ----------
    components : CallComponents
    receiver : Receiver
        Takes the calls that this daemon's own target is chosen for.
    retries : RetryRules
    """

    def __init__(self, components, receiver, retries):
        self.components = components
        self.receiver = receiver
        self.retries = retries

    async def dispatch(self, call, account):
        """Return the answer of the last attempt, or of a doubtful one.

        Parameters
        ----------
        call : Call
        account : CreditAccount
            Pays for retries, and for what each attempt's subtree may spend.
        """
        self.retries.record_first_attempt(call)
        attempts = Attempts()
        answer = None
        while True:
            try:
                self.components.accounts.check(call)
                self.components.quarantine.check(call)
                member = self.components.router.choose(call, attempts.tried)
            except CallError as error:
                answer = self.no_more_upstreams(call, error, answer)
                return whole_truth(answer, attempts.last_possibly_run)
            answer = await self.attempt(member, call, account, attempts)
            attempts.ended(member.name, answer)
            decision = self.retries.decide(call, answer, attempts, account)
            self.note_end(call, answer, decision)
            if not decision.should_retry:
                return whole_truth(answer, attempts.last_possibly_run)
            self.components.counters.retries += 1
            await asyncio.sleep(decision.backoff_s)

    def note_end(self, call, answer, decision):
        """Log what follows a failed attempt, and why."""
        if answer.kind is None and not decision.should_retry:
            return
        self.components.log.record(
            "retry",
            call.request_id,
            outcome=decision.reason,
            after=outcome_of(answer),
        )

    def no_more_upstreams(self, call, error, answer):
        """Return the last attempt's answer, or the router's refusal."""
        if answer is not None:
            answer.exhausted = True
            return answer
        refused = error_answer(error)
        refused.exhausted = True
        return refused

    async def attempt(self, member, call, account, before):
        """Send one attempt and settle its credits and the router's books.

        Parameters
        ----------
        member : Member
        call : Call
        account : CreditAccount
        before : Attempts
            Those made before.
        """
        granted = account.grant()
        # Only few calls hold credits, and copying one takes as long as
        # choosing its upstream.
        attempt = call
        repeated = call.repeated or before.reached_target
        if granted != call.credits or repeated != call.repeated:
            attempt = replace(call, credits=granted, repeated=repeated)
        self.components.counters.attempts += 1
        # What is known has to be read before the attempt changes it.
        log = self.components.log
        known = self.components.router.explain(member, call) if log.enabled else None
        self.components.router.started(member, call)
        started = now()
        answer = None
        try:
            answer = await self.send(member, attempt)
        except CallError as error:
            answer = error_answer(error)
        finally:
            elapsed = now() - started
            self.components.router.ended(member, call, answer, elapsed)
            self.components.latencies.attempt_ended(call.path_key, answer, elapsed)
            log.record_attempt(call, before.made + 1, known, answer, elapsed)
        account.refund(min(answer.credits_left, granted))
        return answer

    async def send(self, member, call):
        """Send an attempt on its way, and wait no longer than its life.

        Raises
        ------
        CallError
            EXPIRED when the life ended before an answer came.
        """
        remaining = call.remaining()
        if remaining <= 0:
            raise CallError(ErrorKind.EXPIRED_UNSENT)
        if member.name == self.components.local.name:
            return await self.receiver.receive(call, member.name)
        try:
            with CallTimeout(remaining + ANSWER_GRACE_SECONDS):
                return await self.components.links.call(member, call)
        except TimeoutError:
            raise CallError(ErrorKind.EXPIRED) from None


def whole_truth(answer, doubtful):
    """Return what is true of all attempts of a call together.

    The last attempt's `not run` speaks of itself. Where an earlier attempt
    broke off after it was handed over, a target may have run the call; the
    caller would be told that it was not, and find its effect there. So the
    doubtful answer goes back in its place.

    Parameters
    ----------
    answer : Answer
        Of the last attempt.
    doubtful : Answer or None
        Of the latest attempt before it that may have been run.
    """
    if doubtful is None or answer.effect is not Effect.NOT_RUN:
        return answer
    doubtful.exhausted = True
    doubtful.load = answer.load
    return doubtful
