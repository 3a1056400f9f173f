"""Hands admitted calls to the target over loopback HTTP."""

import asyncio

from papayabay_core.calls import Answer
from papayabay_core.errors import CallError, ErrorKind
from papayabay_daemon._internal.doors.headers import end_to_end, without
from papayabay_daemon._internal.lifetime.timeouts import CallTimeout
from papayabay_daemon._internal.quarantine.fingerprint import Fingerprints
from papayabay_daemon._internal.target.cancellation import CancelNotices
from papayabay_daemon._internal.target.crash_detector import CrashDetector
from papayabay_daemon._internal.target.dialect import OwnTargetDialect, Verdict
from papayabay_daemon._internal.target.exchange import Exchange
from papayabay_daemon._internal.target.pool import TargetPool

NOT_MODIFIED = 304
REFUSALS = {
    Verdict.SHED: ErrorKind.TARGET_SHED,
    Verdict.REJECTED: ErrorKind.TARGET_REJECTED,
    Verdict.REPLACED: ErrorKind.TARGET_SHED,
    Verdict.REFUSED_BELOW: ErrorKind.REFUSED_BELOW,
}
MAX_STRAY_ANSWERS = 4
"""Answers to other requests that are skipped on one connection; a target that
sends more is out of step for good."""


class HttpTargetClient:
    """The `TargetClient` of the daemon.

    Parameters
    ----------
    settings : DaemonSettings
    registry : TargetRegistry
    dialect : TargetDialect or None
        None for papayabay's own.
    """

    def __init__(self, settings, registry, dialect=None):
        self.dialect = dialect or OwnTargetDialect()
        self.limits = settings.limits
        self.registry = registry
        self.pool = None
        self.notices = CancelNotices()
        self.crash_detector = CrashDetector(Fingerprints(settings))

    async def run(self, call, call_token):
        """Hand a call over and return the target's answer.

        Raises
        ------
        CallError
            TARGET_UNREACHABLE, TARGET_SHED or EXPIRED_UNSENT: not run.
            TARGET_LOST or EXPIRED: unknown.
        """
        announcement = self.registry.current
        if announcement is None or announcement.service != call.service:
            raise CallError(ErrorKind.TARGET_UNREACHABLE, "no target is announced")
        pool = self.pool_of(announcement)
        pool.enter()
        streams = False
        try:
            answer = await self.run_in_life(call, call_token, pool)
            streams = not answer.body.is_complete
            return answer
        finally:
            if not streams:
                pool.leave()

    def pool_of(self, announcement):
        """Return the connections to the announced target."""
        pool = self.pool
        if pool is not None and pool.serves(announcement):
            pool.announcement = announcement
            return pool
        self.pool = TargetPool(announcement, self.limits)
        if pool is not None:
            pool.retire()
        return self.pool

    async def run_in_life(self, call, call_token, pool):
        """Run a call, for as long as it may live."""
        remaining = call.remaining()
        if remaining <= 0:
            raise CallError(ErrorKind.EXPIRED_UNSENT)
        exchange = None
        try:
            with CallTimeout(remaining):
                connection = await self.connect(pool)
                exchange = Exchange(pool, connection, self.limits)
                head = self.dialect.request_head(call, call_token, pool.announcement)
                exchange.send(call, head)
                return await self.receive(exchange, call, call_token, pool)
        except TimeoutError:
            if exchange is None:
                raise CallError(ErrorKind.EXPIRED_UNSENT) from None
            self.give_up(exchange, call, call_token)
            raise CallError(ErrorKind.EXPIRED) from None
        except asyncio.CancelledError:
            if exchange is not None:
                self.give_up(exchange, call, call_token)
            raise
        except CallError:
            if exchange is not None:
                exchange.abort()
            raise
        except Exception as error:
            # From the first byte on, the target may have acted on the
            # request, also when an idle connection turns out to be closed:
            # whether it read the bytes before can't be known.
            if exchange is not None:
                exchange.abort()
                await self.call_broke_off(exchange, call)
            raise CallError(ErrorKind.TARGET_LOST, repr(error)) from error

    async def connect(self, pool):
        """Return a connection, and let the registry know how it went."""
        try:
            connection = await pool.connect()
        except OSError as error:
            self.registry.connect_failed(pool.announcement)
            # The call that crashed it may have been cancelled before.
            if self.crash_detector.lost:
                self.crash_detector.probe(pool)
            raise CallError(ErrorKind.TARGET_UNREACHABLE, str(error)) from error
        self.registry.connected()
        return connection

    async def receive(self, exchange, call, call_token, pool):
        """Return the answer.

        Raises
        ------
        CallError
            TARGET_SHED, TARGET_REJECTED or REFUSED_BELOW, not run;
            TARGET_LOST.
        """
        message = await self.receive_own(exchange, call)
        status, fields = message.status, message.head.first
        pool.note_idle(self.dialect.idle_seconds(fields))
        verdict = self.dialect.classify(call, pool.announcement, status, fields)
        if verdict in REFUSALS:
            exchange.discard()
            if verdict is Verdict.REPLACED:
                self.registry.mark_replaced(pool.announcement)
            pause = self.dialect.retry_after_ms(fields)
            raise CallError(REFUSALS[verdict], retry_after_ms=pause)
        if verdict is Verdict.UNVERIFIED:
            raise CallError(ErrorKind.TARGET_LOST, f"a {status} that can't be its own")
        # Decoded before the body, so that a field that can't travel on ends
        # the call at once.
        headers = end_to_end(message.head.fields, self.dialect.names).kept
        body = exchange.body(call.remaining)
        if not body.is_complete:
            self.follow(body.rest, call, call_token, pool)
            return Answer(status, headers, body)
        # Without a length, an answer ends with its connection: so does one
        # that a target gives while it ends.
        if message.head.is_framed or not exchange.connection.closed:
            self.crash_detector.answered(call)
        if call.method != "HEAD" and status != NOT_MODIFIED:
            headers = without(headers, "content-length")
        return Answer(status, headers, body)

    async def receive_own(self, exchange, call):
        """Return the answer to this very request.

        A target may send a second answer to an earlier request when that
        one has long ended, and the connection serves another. Taken for the
        next answer, it would go to the wrong caller.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            message = await exchange.receive()
            if not self.dialect.is_stray(call, message.head.first):
                return message
            await exchange.skip()
        raise CallError(ErrorKind.TARGET_LOST, "answers to other requests only")

    def follow(self, stream, call, call_token, pool):
        """Keep the pool until a streamed answer ends."""
        loop = asyncio.get_running_loop()

        def ended(whole):
            if loop.is_closed():
                return
            pool.leave()
            if whole:
                self.crash_detector.answered(call)
            else:
                self.crash_detector.call_lost(call, stream.exchange)
                self.crash_detector.probe(pool)
                self.notices.post(pool.announcement, call_token)

        stream.on_end = ended

    async def call_broke_off(self, exchange, call):
        """Record a call that broke off, and wait for the probe it starts.

        The call may be retried elsewhere at once. By then other daemons should
        know of a crash and its suspects.
        """
        self.crash_detector.call_lost(call, exchange)
        await asyncio.wait({self.crash_detector.probe(exchange.pool)})

    def give_up(self, exchange, call, call_token):
        """Close the connection and tell the target why, if it listens."""
        exchange.abort()
        self.crash_detector.call_lost(call, exchange)
        self.notices.post(exchange.pool.announcement, call_token)

    async def close(self):
        """Close all connections."""
        self.crash_detector.close()
        await self.notices.close()
        if self.pool is not None:
            self.pool.close()
