"""One attempt of a keyed call, in a task that outlives its caller."""

import asyncio

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, Effect, ErrorKind
from papayabay_daemon._internal.idempotency import answers
from papayabay_daemon._internal.idempotency.attempts import KeyState

DISPATCH_GRACE = 0.5
"""Seconds after a call's life for its dispatch to say how it ended."""


class Runner:
    """Starts attempts and notes in their entries what became of them.

    An attempt runs in a task of its own, so that a caller who leaves doesn't
    end it: a non-idempotent call that is cancelled after it was handed over
    leaves an outcome that nobody knows, where a caller who comes back with
    the key would have had an answer. Its life bounds the task. A call whose
    callers have all left before it is dispatched isn't dispatched.

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
        entry.streams = True
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            # The key may be at its next attempt already, whose caller stays.
            if entry.task is task:
                entry.streams = False
            await close_unread(task)
            raise
        finally:
            entry.waiters -= 1
        return result_of(task)

    async def dispatch(self, entry, call, dispatch):
        """Dispatch a call and note in the entry what became of it."""
        remaining = call.expires_at - self.state.clock()
        if remaining <= 0 or not entry.waiters:
            # A process paused after its claim resumes here with a call that
            # its caller has given up; the clock counted the pause. A pause
            # after this line is found by the remaining time on the link.
            entry.state = KeyState.HELD
            self.state.counters["unsent"] += 1
            return CallError(ErrorKind.EXPIRED_UNSENT)
        try:
            async with asyncio.timeout(remaining + DISPATCH_GRACE):
                answer = await dispatch(call)
                answer.body = await answers.read_up_to(
                    answer.body, answers.KEPT_BODY_BYTES
                )
        except CallError as error:
            return self.note_error(entry, error)
        except TimeoutError:
            return self.note_error(entry, CallError(ErrorKind.EXPIRED))
        except asyncio.CancelledError:
            entry.state = KeyState.UNKNOWN
            raise
        except Exception as error:
            failure = CallError(ErrorKind.INTERNAL, type(error).__name__)
            return self.note_error(entry, failure)
        return await self.note_answer(entry, answer)

    def note_error(self, entry, error):
        """Note an attempt's error in its entry and return the error."""
        not_run = error.answer.effect is Effect.NOT_RUN
        entry.state = KeyState.HELD if not_run else KeyState.UNKNOWN
        self.state.counters[error.answer.effect.value] += 1
        return error

    async def note_answer(self, entry, answer):
        """Note an attempt's answer in its entry and return the answer."""
        self.state.counters[answer.effect.value] += 1
        if answer.effect is Effect.NOT_RUN:
            entry.state = KeyState.HELD
        elif answer.effect is Effect.UNKNOWN:
            entry.state = KeyState.UNKNOWN
        else:
            entry.state = KeyState.DONE
            if answer.body.is_complete:
                self.state.key_table.keep_answer(entry, answers.to_bytes(answer))
        if not entry.streams:
            await answers.close_rest(answer.body)
        return answer


def is_running(task):
    """Return whether an attempt goes on; None is an ended one."""
    return task is not None and not task.done()


def result_of(task):
    """Return an ended attempt's result; raise a fresh copy of its error."""
    if task.cancelled():
        raise CallError(ErrorKind.OUTCOME_UNKNOWN, "the daemon is stopping")
    if task.exception() is not None:
        raise CallError(ErrorKind.INTERNAL, type(task.exception()).__name__)
    result = task.result()
    if isinstance(result, CallError):
        raise CallError(result.kind, result.detail, result.retry_after_ms)
    return result


async def close_unread(task):
    """Close the streamed answer of an attempt whose first caller left."""
    ended = task.done() and not task.cancelled() and task.exception() is None
    if ended and isinstance(task.result(), Answer):
        await answers.close_rest(task.result().body)
