"""Runs attempts of calls with keys in tasks that outlive their callers."""

import asyncio

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_daemon._internal.idempotency import answers
from papayabay_daemon._internal.idempotency.key_table import KeyState

DISPATCH_GRACE_SECONDS = 0.5
"""Time after a call has expired in which its dispatch may still report how
it ended."""


class AttemptRunner:
    """Starts attempts and records their outcomes in their entries.

    An attempt runs in its own task, so that it is not cancelled when its
    caller disconnects. Cancelling a non-idempotent call after the target got
    it would make its outcome unknown, whereas now a caller that retries with
    the key gets the answer. The call's lifetime bounds the task. A call whose
    callers have all left before its dispatch is not dispatched.

    Parameters
    ----------
    state : GateState
    """

    def __init__(self, state):
        self.state = state

    async def start(self, entry, attempt):
        """Start an attempt and wait for it as its first caller."""
        entry.state = KeyState.RUNNING
        task = entry.task = self.state.spawn(attempt)
        entry.waiters += 1
        entry.first_caller_waits = True
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            # The key may already have a later attempt, whose caller waits.
            if entry.task is task:
                entry.first_caller_waits = False
            await close_unread_answer(task)
            raise
        finally:
            entry.waiters -= 1
        return result_of(task)

    async def dispatch(self, entry, call, dispatch):
        """Dispatch a call and record its outcome in the entry.

        Returns
        -------
        Answer or CallError
        """
        remaining = call.expires_at - self.state.clock()
        if remaining <= 0 or not entry.waiters:
            # If the process was paused after it had claimed the key, the call
            # has expired by now, as the clock counts the pause. A pause after
            # this check is covered by the remaining lifetime that is sent
            # with the call over the link.
            entry.state = KeyState.HELD
            self.state.counters["unsent"] += 1
            return CallError(ErrorKind.EXPIRED_UNSENT)
        try:
            async with asyncio.timeout(remaining + DISPATCH_GRACE_SECONDS):
                answer = await dispatch(call)
                answer.body = await answers.read_up_to(
                    answer.body, answers.MAX_KEPT_BODY_BYTES
                )
        except CallError as error:
            return self.record_error(entry, error)
        except TimeoutError:
            return self.record_error(entry, CallError(ErrorKind.EXPIRED))
        except asyncio.CancelledError:
            entry.state = KeyState.UNKNOWN
            raise
        except Exception as error:
            failure = CallError(ErrorKind.INTERNAL, type(error).__name__)
            return self.record_error(entry, failure)
        return await self.record_answer(entry, answer)

    def record_error(self, entry, error):
        """Record an attempt's error in its entry and return the error."""
        not_run = error.answer.effect is Effect.NOT_RUN
        entry.state = KeyState.HELD if not_run else KeyState.UNKNOWN
        self.state.counters[error.answer.effect.value] += 1
        return error

    async def record_answer(self, entry, answer):
        """Record an attempt's answer in its entry and return the answer."""
        self.state.counters[answer.effect.value] += 1
        if answer.effect is Effect.NOT_RUN:
            entry.state = KeyState.HELD
        elif answer.effect is Effect.UNKNOWN:
            entry.state = KeyState.UNKNOWN
        else:
            entry.state = KeyState.DONE
            if answer.body.whole:
                self.state.key_table.keep_answer(entry, answers.encode_answer(answer))
        if not entry.first_caller_waits:
            await answers.close_rest(answer.body)
        return answer


def is_running(task):
    """Return whether an attempt is running; None stands for a finished one."""
    return task is not None and not task.done()


def result_of(task):
    """Return a finished attempt's result, or raise a copy of its error."""
    if task.cancelled():
        raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the daemon is stopping")
    if task.exception() is not None:
        raise CallError(ErrorKind.INTERNAL, type(task.exception()).__name__)
    result = task.result()
    if isinstance(result, CallError):
        raise CallError(result.kind, result.detail, result.retry_after_ms)
    return result


async def close_unread_answer(task):
    """Close the streamed answer of a finished attempt without a reader."""
    finished = task.done() and not task.cancelled() and task.exception() is None
    if finished and isinstance(task.result(), Answer):
        await answers.close_rest(task.result().body)
