"""Caller side of a call: attempts at upstreams until one answer is final."""

import asyncio

from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.calls.answers import error_answer
from papayabay_daemon._internal.decision_log import outcome_of
from papayabay_daemon._internal.retries import Attempts


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
        components = self.components
        self.retries.record_first_attempt(call)
        attempts = Attempts()
        answer = None
        while True:
            try:
                if call.key_digest:
                    components.accounts.check(call)
                components.quarantine.check(call)
                member = components.router.choose(call, attempts.tried)
            except CallError as error:
                answer = self.final_answer(call, error, answer)
                return combine_attempts(answer, attempts.last_possibly_run)
            answer = await self.attempt(member, call, account, attempts)
            attempts.ended(member.name, answer)
            decision = self.retries.decide(call, answer, attempts, account)
            should_retry = decision.should_retry
            if should_retry or answer.kind is not None:
                self.log_decision(call, answer, decision)
            if not should_retry:
                return combine_attempts(answer, attempts.last_possibly_run)
            components.counters.retries += 1
            await asyncio.sleep(decision.backoff_s)

    def log_decision(self, call, answer, decision):
        """Log the retry decision after a failed attempt, with its reason."""
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

        The attempt is sent here and not in a method of its own: each layer
        of coroutines costs every attempt.

        Parameters
        ----------
        member : Member
        call : Call
        account : CreditAccount
        previous : Attempts
            Earlier attempts of the same call.
        """
        components = self.components
        attempt_credits = account.grant()
        # A copy is made only if something differs.
        attempt = call
        repeated = call.repeated or previous.reached_target
        if attempt_credits != call.credits or repeated != call.repeated:
            attempt = call.for_attempt(attempt_credits, repeated)
        components.counters.attempts += 1
        router, log = components.router, components.log
        explanation = router.started(member, call, log.enabled)
        started = now()
        answer = None
        try:
            if member.name != components.local.name:
                answer = await components.links.call(member, attempt)
            elif call.expires_at > started:
                answer = await self.receiver.receive(attempt, member.name)
            else:
                raise CallError(ErrorKind.EXPIRED_UNSENT)
        except CallError as error:
            answer = error_answer(error)
        finally:
            elapsed = now() - started
            router.ended(member, call, answer, elapsed)
            components.latencies.attempt_ended(call.path_key, answer, elapsed)
            log.record_attempt(call, previous.made + 1, explanation, answer, elapsed)
        if attempt_credits:
            account.refund(min(answer.credits_left, attempt_credits))
        return answer


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
