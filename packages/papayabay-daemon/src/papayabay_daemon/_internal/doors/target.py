"""The loopback HTTP listener for the target beside this daemon."""

from papayabay_core.models import InvalidValues, Model, explain_faults
from papayabay_daemon._internal.doors.body import read_message
from papayabay_daemon._internal.doors.calls import CallDoor
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.doors.incoming import bad_request
from papayabay_daemon._internal.doors.response import json_answer
from papayabay_daemon._internal.target.announcement import AnnounceMessage

ANNOUNCE_PATH = DefaultCallerDialect.reserved_prefix + "announce"
WITHDRAW_PATH = DefaultCallerDialect.reserved_prefix + "withdraw"


class TargetDoor(CallDoor):
    """Accepts the target's announcements and its outgoing calls.

    Parameters
    ----------
    settings : DaemonSettings
    flow : CallFlow
    target : TargetRegistry
    """

    def __init__(self, settings, flow, target):
        loopback = settings.loopback
        super().__init__(loopback.host, loopback.target_port, settings.limits)
        self.flow = flow
        self.target = target

    def run(self, incoming):
        """Pass an outgoing call to the call flow."""
        return self.flow.handle_outgoing(incoming)

    async def answer_reserved(self, request):
        """Register or withdraw the target."""
        route = (request.method, request.raw_path)
        if route == ("POST", ANNOUNCE_PATH):
            message = await self.read_message(request, AnnounceMessage)
            self.target.announce(message.to_announcement())
            return json_answer({"lease_ms": message.lease_ms})
        if route == ("POST", WITHDRAW_PATH):
            self.target.withdraw("the target withdrew")
            return json_answer({})
        return await super().answer_reserved(request)

    async def read_message(self, request, model: type[Model]):
        """Return a JSON body as a validated model."""
        content = await read_message(request, self.limits)
        try:
            return model.model_validate_json(content)
        except InvalidValues as error:
            raise bad_request(explain_faults(error, "message")) from None
