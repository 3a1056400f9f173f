"""The door for callers."""

from papayabay_daemon._internal.doors.calls import CallDoor
from papayabay_daemon._internal.doors.dialect import DefaultCallerDialect
from papayabay_daemon._internal.doors.response import json_answer

KEYS_PATH = DefaultCallerDialect.reserved_prefix + "keys"


class CallerDoor(CallDoor):
    """Takes callers' requests on the VM's address.

    Parameters
    ----------
    settings : DaemonSettings
    flow : CallFlow
    key_minter : callable or None
        Returns a fresh home-bound idempotency key.
    dialect : CallerDialect or None
        None for papayabay's own.
    """

    def __init__(self, settings, flow, key_minter=None, dialect=None):
        vm = settings.vm
        super().__init__(vm.host, vm.caller_port, settings.limits, dialect)
        self.flow = flow
        self.key_minter = key_minter

    async def run(self, incoming):
        """Enter the request; a caller has no call to name."""
        incoming.call_token = ""
        return await self.flow.handle_request(incoming)

    async def answer_reserved(self, request):
        """Mint a home-bound key."""
        if request.raw_path != KEYS_PATH or request.method != "POST":
            return await super().answer_reserved(request)
        if self.key_minter is None:
            return await super().answer_reserved(request)
        return json_answer({"key": self.key_minter()})
