"""What the caller door and the target door share."""

from papayabay_core.errors import CallError
from papayabay_daemon._internal.doors.incoming import bad_request, read_incoming
from papayabay_daemon._internal.doors.protocol import Door
from papayabay_daemon._internal.doors.response import fault_answer


class CallDoor(Door):
    """A door through which calls come in."""

    async def answer(self, request):
        """Return the answer of the call flow, or of a reserved path."""
        reserved = self.dialect.reserved_prefix
        if reserved and request.raw_path.startswith(reserved):
            return await self.answer_reserved(request)
        incoming, state = await read_incoming(request, self.limits, self.dialect)
        try:
            answer = await self.run(incoming)
        except CallError:
            if state.fault is None:
                raise
            return fault_answer(state, self.dialect)
        if answer.kind is not None and state.fault is not None:
            return fault_answer(state, self.dialect)
        return answer

    async def run(self, incoming):
        """Hand a request to the call flow."""
        raise NotImplementedError

    async def answer_reserved(self, request):
        """Return the answer of a path of papayabay's own."""
        raise bad_request(f"nothing takes {request.method} at this path")
