"""The HTTP listener for callers."""

from papayabay_daemon._internal.doors.calls import CallDoor
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.doors.response import json_answer

KEYS_PATH = DefaultCallerDialect.reserved_prefix + "keys"


class CallerDoor(CallDoor):
    """Accepts callers' requests on the VM's address.

    Parameters
    ----------
    settings : DaemonSettings
    flow : CallFlow
    key_minter : callable or None
        Returns a new idempotency key that names its home; None if this
        daemon issues no keys.
    dialect : CallerDialect or None
        None for the default one.
    """

    def __init__(self, settings, flow, key_minter=None, dialect=None):
        vm = settings.vm
        super().__init__(vm.host, vm.caller_port, settings.limits, dialect)
        self.flow = flow
        self.key_minter = key_minter

    def run(self, incoming):
        """Pass the request to the call flow, without a call token.

        Only the target may name the call that it makes a request for.
        """
        incoming.call_token = ""
        return self.flow.handle_request(incoming)

    async def answer_reserved(self, request):
        """Return a new idempotency key."""
        if request.raw_path != KEYS_PATH or request.method != "POST":
            return await super().answer_reserved(request)
        if self.key_minter is None:
            return await super().answer_reserved(request)
        return json_answer({"key": self.key_minter()})
