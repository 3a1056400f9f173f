"""Base class of the doors for callers and for the target."""

from papayabay_core.calls import Body
from papayabay_core.errors import CallError
from papayabay_daemon._internal.doors.body import RequestBody
from papayabay_daemon._internal.doors.incoming import (
    bad_request,
    read_incoming,
    set_body,
)
from papayabay_daemon._internal.doors.protocol import Door
from papayabay_daemon._internal.doors.response import body_error_answer


class CallDoor(Door):
    """A door that accepts calls."""

    def answer(self, request):
        """Return a coroutine that answers a call or a reserved path.

        If the body is here already, or there is none, it is that of the call
        flow itself: each layer of coroutines costs every request processor
        time.
        """
        reserved = self.dialect.reserved_prefix
        if reserved and request.raw_path.startswith(reserved):
            return self.answer_reserved(request)
        incoming = read_incoming(request, self.limits, self.dialect)
        payload, limits = request.payload, self.limits
        if payload is None:
            body = Body()
        elif payload.complete and payload.received_bytes <= min(
            limits.inline_body_bytes, limits.body_bytes
        ):
            body = Body(payload.read_all_nowait())
        else:
            return self.answer_with_body(request, incoming)
        set_body(incoming, body, request.length)
        return self.run(incoming)

    async def answer_with_body(self, request, incoming):
        """Answer a call whose body is still received, or is large.

        If the body could not be read, that error takes precedence over the
        error that it caused.
        """
        request_body = RequestBody(request, self.limits)
        set_body(incoming, await request_body.read(), request.length)
        try:
            answer = await self.run(incoming)
        except CallError:
            if request_body.fault is None:
                raise
            return body_error_answer(request_body, self.dialect)
        if answer.kind is not None and request_body.fault is not None:
            return body_error_answer(request_body, self.dialect)
        return answer

    async def run(self, incoming):
        """Pass a request to the call flow."""
        raise NotImplementedError

    async def answer_reserved(self, request):
        """Answer a request for a path that papayabay reserves."""
        raise bad_request(f"nothing takes {request.method} at this path")
