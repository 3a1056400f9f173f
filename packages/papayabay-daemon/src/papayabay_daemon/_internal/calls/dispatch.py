"""Caller side of a call: attempts at upstreams until one answer is final."""

import asyncio

from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.decision_log import outcome_of
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout
from papayabay_daemon._internal.retries import Attempts

ANSWER_GRACE_SECONDS = 0.02
"""Time that an expired call still waits for an answer: the callee reports
more precisely whether the call was run."""


class Dispatcher:
    """Sends calls to upstreams, and retries within the request's credits.

    Parameters
    ----------
    components : CallComponents
    receiver : Receiver
        Handles the calls for which this daemon's own target is chosen.
    retries : RetryRules
    """

    def __init__(self, components, receiver, retries):
        self.components = components
        self.receiver = receiver
        self.retries = retries

    async def dispatch(self, call, account):
        """Send a call, with retries, and return its answer.

        Parameters
        ----------
        call : Call
        account : CreditAccount
            Retry credits for this call's retries and for the retries in the
            subtree of each attempt.

        Returns
        -------
        Answer
            Of the last attempt, or of an earlier one that may have been run;
            see `combine_attempts`.
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
                answer = self.final_answer(call, error, answer)
                return combine_attempts(answer, attempts.last_possibly_run)
            answer = await self.attempt(member, call, account, attempts)
            attempts.ended(member.name, answer)
            decision = self.retries.decide(call, answer, attempts, account)
            self.log_decision(call, answer, decision)
            if not decision.should_retry:
                return combine_attempts(answer, attempts.last_possibly_run)
            self.components.counters.retries += 1
            await asyncio.sleep(decision.backoff_s)

    def log_decision(self, call, answer, decision):
        """Log the retry decision after a failed attempt, with its reason."""
        if answer.kind is None and not decision.should_retry:
            return
        self.components.log.record(
            "retry",
            call.request_id,
            outcome=decision.reason,
            after=outcome_of(answer),
        )

    def final_answer(self, call, error, answer):
        """Return the last attempt's answer, or the error if there was none."""
        if answer is not None:
            answer.exhausted = True
            return answer
        refusal = error_answer(error)
        refusal.exhausted = True
        return refusal

    async def attempt(self, member, call, account, previous):
        """Send one attempt and account for its credits and its result.

        Parameters
        ----------
        member : Member
        call : Call
        account : CreditAccount
        previous : Attempts
            Earlier attempts of the same call.
        """
        attempt_credits = account.grant()
        # A copy takes 5 us, so it is made only if something differs.
        attempt = call
        repeated = call.repeated or previous.reached_target
        if attempt_credits != call.credits or repeated != call.repeated:
            attempt = call.for_attempt(attempt_credits, repeated)
        self.components.counters.attempts += 1
        # Read before the attempt, which changes the router's state.
        log = self.components.log
        explanation = (
            self.components.router.explain(member, call) if log.enabled else None
        )
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
            log.record_attempt(call, previous.made + 1, explanation, answer, elapsed)
        account.refund(min(answer.credits_left, attempt_credits))
        return answer

    async def send(self, member, call):
        """Send an attempt and wait for its answer until it expires.

        Raises
        ------
        CallError
            EXPIRED_UNSENT if the call has expired already, EXPIRED if it
            expires before the answer arrives.
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


def combine_attempts(answer, ambiguous):
    """Return the answer that holds for all attempts of a call together.

    The effect `not run` of the last attempt covers that attempt alone. If an
    earlier attempt reached a target and then failed, the target may have run
    the call, and `not run` would be false. In that case the answer of the
    earlier attempt is returned.

    Parameters
    ----------
    answer : Answer
        Of the last attempt.
    ambiguous : Answer or None
        Of the latest attempt that a target may have run.
    """
    if ambiguous is None or answer.effect is not Effect.NOT_RUN:
        return answer
    ambiguous.exhausted = True
    ambiguous.load = answer.load
    return ambiguous
