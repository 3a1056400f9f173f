"""HTTP client that sends admitted calls to the target over loopback."""

import asyncio

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.utils.clock import now
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout
from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints
from papayabay_daemon._internal.target.answer_headers import AnswerHeaders
from papayabay_daemon._internal.target.cancellation import CancelNotices
from papayabay_daemon._internal.target.crash_detector import CrashDetector
from papayabay_daemon._internal.target.dialect import (
    Attribution,
    DefaultTargetDialect,
    Verdict,
)
from papayabay_daemon._internal.target.exchange import Exchange
from papayabay_daemon._internal.target.pool import TargetPool

NOT_MODIFIED = 304
REFUSALS = {
    Verdict.SHED: ErrorKind.TARGET_SHED,
    Verdict.REJECTED: ErrorKind.TARGET_REJECTED,
    Verdict.REPLACED: ErrorKind.TARGET_SHED,
    Verdict.REFUSED_BELOW: ErrorKind.REFUSED_BELOW,
}
FOREIGN = frozenset({Verdict.REPLACED, Verdict.UNVERIFIED})
"""Verdicts on answers that do not come from the announced process."""
MAX_STRAY_ANSWERS = 4
"""Most answers to other requests that are skipped before a call fails; a
target that sends more will not get back in step on this connection."""


class HttpTargetClient:
    """The `TargetClient` that the daemon uses.

    Parameters
    ----------
    settings : DaemonSettings
    registry : TargetRegistry
    dialect : TargetDialect or None
        None for papayabay's own.

    Attributes
    ----------
    report_listeners : list of callable
        Called with the announcement of the target, the `TargetReport` in each
        of its answers, and when the answered call was sent.
    log : DecisionLog
        Set by the daemon; writes nothing by default.
    counters : dict of str to int
        ``stray_answers``: answers to other requests that were skipped.
    """

    def __init__(self, settings, registry, dialect=None):
        self.dialect = dialect or DefaultTargetDialect()
        self.answer_headers = AnswerHeaders(self.dialect.names)
        self.limits = settings.limits
        self.registry = registry
        self.pool = None
        self.report_listeners = []
        self.notices = CancelNotices()
        self.crash_detector = CrashDetector(Fingerprints(settings))
        self.log = DecisionLog()
        self.counters = {"stray_answers": 0}

    async def run(self, call, call_token):
        """Send a call to the target and return its answer.

        Raises
        ------
        CallError
            TARGET_UNREACHABLE, EXPIRED_UNSENT, or one of `REFUSALS`: the call
            was not run. TARGET_LOST or EXPIRED: it may have been run.
        """
        announcement = self.registry.current
        if announcement is None or announcement.service != call.service:
            raise CallError(ErrorKind.TARGET_UNREACHABLE, "no target is announced")
        started_at = now()
        if call.expires_at <= started_at:
            raise CallError(ErrorKind.EXPIRED_UNSENT)
        pool = self.pool
        if pool is None or pool.announcement is not announcement:
            pool = self.pool_for(announcement)
        pool.users += 1
        is_streamed = False
        exchange = None
        # One coroutine from here to the connection: each further one is
        # resumed once more for each call.
        try:
            connection = pool.take_idle(started_at, call.request_id)
            if connection is None:
                connection = await self.open_connection(pool, call)
                started_at = now()
            elif self.registry.connect_failures:
                self.registry.record_connected()
            exchange = Exchange(pool, connection, self.limits, started_at)
            head = self.dialect.request_head(call, call_token, pool.announcement)
            exchange.send(call, head)
            message = await connection.receive(call.expires_at - started_at)
            fields = message.head.first
            attribution = self.dialect.attribute(call, call_token, fields)
            if attribution is Attribution.OTHER:
                message = await self.receive_matching(
                    exchange, call, call_token, message
                )
            exchange.message = message
            answer = self.read_answer(exchange, call, call_token, pool)
            is_streamed = answer.body.rest is not None
            return answer
        except TimeoutError:
            self.cancel(exchange, call, call_token)
            pool.close_idle_since(exchange.started_at)
            raise CallError(ErrorKind.EXPIRED) from None
        except asyncio.CancelledError:
            if exchange is not None:
                self.cancel(exchange, call, call_token)
            raise
        except CallError:
            if exchange is not None:
                exchange.abort()
            raise
        except Exception as error:
            # Once a byte was written, the target may have acted on the
            # request. That holds also if a reused connection turns out to be
            # closed: nothing shows whether the target read the bytes before.
            if exchange is not None:
                exchange.abort()
                await self.handle_lost_call(exchange, call)
            raise CallError(ErrorKind.TARGET_LOST, repr(error)) from error
        finally:
            if not is_streamed:
                pool.remove_user()

    def pool_for(self, announcement):
        """Return the connection pool of the announced target.

        The pool of a former process is closed once its calls are done.
        """
        pool = self.pool
        if pool is not None and pool.serves(announcement):
            pool.announcement = announcement
            return pool
        self.pool = TargetPool(announcement, self.limits)
        if pool is not None:
            pool.retire()
        return self.pool

    async def open_connection(self, pool, call):
        """Return a connection; raises `CallError` when the lifetime ends."""
        try:
            with CallTimeout(call.remaining()):
                return await self.connect(pool, call.request_id)
        except TimeoutError:
            raise CallError(ErrorKind.EXPIRED_UNSENT) from None

    async def connect(self, pool, request_id):
        """Return a connection, and report the outcome to the registry."""
        try:
            connection = await pool.connect(request_id)
        except OSError as error:
            self.registry.record_connect_failure(pool.announcement)
            # A crash may be due to a call that was cancelled before it.
            if self.crash_detector.lost_calls:
                self.crash_detector.probe(pool)
            raise CallError(ErrorKind.TARGET_UNREACHABLE, str(error)) from error
        self.registry.record_connected()
        return connection

    def read_answer(self, exchange, call, call_token, pool):
        """Return the answer that an exchange has received.

        Raises
        ------
        CallError
            One of `REFUSALS`: the call was not run. TARGET_LOST.
        """
        message = exchange.message
        status, fields = message.status, message.head.first
        pool.set_idle_timeout(self.dialect.idle_seconds(fields))
        verdict = self.dialect.classify(call, pool.announcement, status, fields)
        if verdict is Verdict.ANSWER:
            self.record_report(pool.announcement, fields, exchange.started_at)
        else:
            self.refuse(verdict, call, call_token, exchange)
        # Header fields are decoded before the body is read, so that a field
        # that can't be forwarded fails the call at once. The length of a
        # whole body is stated anew where it is sent to the caller.
        payload = message.payload
        is_whole = payload.complete and (
            payload.buffered_bytes <= self.limits.inline_body_bytes
        )
        bodiless = call.method == "HEAD" or status == NOT_MODIFIED
        keeps_length = bodiless or not is_whole
        headers = self.answer_headers.forwarded(message.head, keeps_length)
        if not is_whole:
            body = exchange.stream(call.remaining)
            self.watch_stream(body.rest, call, call_token, pool)
            return Answer(status, headers, body)
        body = exchange.read_whole()
        # An answer without a length ends when the connection closes. The close
        # may be due to a crash, so such an answer is not recorded.
        if not exchange.connection.closed or message.head.is_framed:
            self.crash_detector.record_answer(call)
        return Answer(status, headers, body)

    def refuse(self, verdict, call, call_token, exchange):
        """Raise the `CallError` for an answer that is not forwarded."""
        pool, message = exchange.pool, exchange.message
        fields = message.head.first
        if verdict not in FOREIGN:
            self.record_report(pool.announcement, fields, exchange.started_at)
        if verdict is Verdict.UNVERIFIED:
            detail = f"an unverified answer with status {message.status}"
            raise CallError(ErrorKind.TARGET_LOST, detail)
        attribution = self.dialect.attribute(call, call_token, fields)
        self.log.record(
            "refusal",
            call.request_id,
            refusal_inputs,
            exchange,
            call_token,
            verdict,
            attribution,
        )
        if attribution is Attribution.OWN:
            pool.record_refusal(exchange.connection, call.request_id)
        else:
            # A copy of this refusal could not be told from the answer to
            # another call, so no call follows on this connection.
            exchange.connection.unusable = True
        exchange.discard()
        if verdict is Verdict.REPLACED:
            self.registry.mark_replaced(pool.announcement)
        retry_after_ms = self.dialect.retry_after_ms(fields)
        raise CallError(REFUSALS[verdict], retry_after_ms=retry_after_ms)

    def record_report(self, announcement, fields, sent_at):
        """Pass on what an answer states about the target."""
        report = self.dialect.report(fields)
        if report is None:
            return
        for listener in self.report_listeners:
            listener(announcement, report, sent_at)

    async def receive_matching(self, exchange, call, call_token, message):
        """Return the answer to this request, and skip those to others.

        A target may send a second answer to an earlier request after that
        request has ended, when the connection serves another one. Unless it
        is skipped, the wrong caller gets it.

        Parameters
        ----------
        exchange : Exchange
        call : Call
        call_token : str
        message : Message
            The first answer, which is one to another request.

        Raises
        ------
        TimeoutError
            When the call's lifetime ends.
        """
        with CallTimeout(call.remaining()):
            for _ in range(1, MAX_STRAY_ANSWERS):
                self.counters["stray_answers"] += 1
                exchange.message = message
                await exchange.skip()
                message = await exchange.connection.receive()
                fields = message.head.first
                attribution = self.dialect.attribute(call, call_token, fields)
                if attribution is not Attribution.OTHER:
                    return message
        raise CallError(ErrorKind.TARGET_LOST, "answers to other requests only")

    def watch_stream(self, stream, call, call_token, pool):
        """Keep a call as a user of the pool until its streamed answer ends."""
        loop = asyncio.get_running_loop()

        def on_end(complete):
            if loop.is_closed():
                return
            pool.remove_user()
            if complete:
                self.crash_detector.record_answer(call)
            else:
                self.crash_detector.record_lost_call(call, stream.exchange)
                self.crash_detector.probe(pool)
                self.notices.post(pool.announcement, call_token)

        stream.on_end = on_end

    async def handle_lost_call(self, exchange, call):
        """Record a call that broke off, and wait for the probe it starts.

        The call may be retried elsewhere at once. By then other daemons should
        know of a crash and its suspects.
        """
        self.crash_detector.record_lost_call(call, exchange)
        await asyncio.wait({self.crash_detector.probe(exchange.pool)})

    def cancel(self, exchange, call, call_token):
        """Close the connection, and notify the target if it takes notices."""
        exchange.abort()
        self.crash_detector.record_lost_call(call, exchange)
        self.notices.post(exchange.pool.announcement, call_token)

    async def close(self):
        """Cancel background tasks and close all connections."""
        self.crash_detector.close()
        await self.notices.close()
        if self.pool is not None:
            self.pool.close()


def refusal_inputs(exchange, call_token, verdict, attribution):
    """Return the inputs of the decision line on a refusal by the target."""
    message, connection = exchange.message, exchange.connection
    refused_ids = exchange.pool.refused_ids.get(connection, ())
    return {
        "outcome": verdict.value,
        "status": message.status,
        "names_request": attribution.value,
        "connection": connection.number,
        "refused_on_connection": len(refused_ids),
        "instance": exchange.pool.announcement.incarnation,
        "call": call_token,
        "took_ms": round((now() - exchange.started_at) * 1_000, 1),
    }
