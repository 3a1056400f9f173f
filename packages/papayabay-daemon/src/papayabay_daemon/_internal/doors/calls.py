"""Base class of the doors for callers and for the target."""

from papayabay_core.errors import CallError
from papayabay_daemon._internal.doors.incoming import bad_request, read_incoming
from papayabay_daemon._internal.doors.protocol import Door
from papayabay_daemon._internal.doors.response import body_error_answer


class CallDoor(Door):
    """A door that accepts calls."""

    async def answer(self, request):
        """Answer a call, or a request for a reserved path.

        If the request's body could not be read, that error takes precedence
        over the error that it caused.
        """
        reserved = self.dialect.reserved_prefix
        if reserved and request.raw_path.startswith(reserved):
            return await self.answer_reserved(request)
        incoming, request_body = await read_incoming(request, self.limits, self.dialect)
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
