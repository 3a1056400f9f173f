"""The door for operators and metrics, on loopback."""

from papayabay_core.configuration import PROOF_HEADER, verify_proof
from papayabay_core.errors import CallError, ErrorKind
from papayabay_core.exceptions import ProtocolError
from papayabay_daemon._internal.doors.body import read_message
from papayabay_daemon._internal.doors.incoming import bad_request
from papayabay_daemon._internal.doors.protocol import Door
from papayabay_daemon._internal.doors.response import json_answer

PROOF_FIELD = PROOF_HEADER.lower().encode()


class StatusDoor(Door):
    """Serves JSON views of the daemon's state.

    Parameters
    ----------
    settings : DaemonSettings
    routes : dict of str to callable
        Path to a coroutine function that takes the query (dict of str) and
        returns a dict.
    intakes : dict of str to callable
        For POST: path to a coroutine function that takes the body (bytes)
        and returns a dict; a `ProtocolError` is answered as BAD_REQUEST, as
        is a body without the right proof of the cluster's secret.
    """

    def __init__(self, settings, routes, intakes=None):
        loopback = settings.loopback
        super().__init__(loopback.host, loopback.status_port, settings.limits)
        self.secret = settings.cluster.secret
        self.routes = routes
        self.intakes = intakes or {}

    async def answer(self, request):
        """Return a view, or what became of a message."""
        if request.method == "POST" and request.path in self.intakes:
            return await self.take(request)
        if request.method not in ("GET", "HEAD"):
            raise bad_request("this path of the status door only takes GET")
        view = self.routes.get(request.path)
        if view is None:
            raise CallError(ErrorKind.UNKNOWN_SERVICE, "no such view")
        return json_answer(await view(request.query))

    async def take(self, request):
        """Hand over a message that an operator proves to have sent.

        Any process on this VM reaches this door. Without the proof, one of
        them could put a policy of its own in force in the whole fleet; one
        would see versions that the store never had.
        """
        content = await read_message(request, self.limits)
        proof = request.header(PROOF_FIELD)
        if not verify_proof(self.secret, content, proof):
            raise bad_request(f"{PROOF_HEADER} is missing or wrong")
        try:
            return json_answer(await self.intakes[request.path](content))
        except ProtocolError as error:
            raise bad_request(str(error)) from None
