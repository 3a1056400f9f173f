"""The loopback HTTP listener for operators and metrics."""

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
        Handlers of GET by path: coroutine functions that take the query
        (dict of str) and return a dict.
    post_routes : dict of str to callable
        Handlers of POST by path: coroutine functions that take the body
        (bytes) and return a dict. A `ProtocolError` is answered with
        BAD_REQUEST, as is a body without a valid proof of the cluster's
        secret.
    """

    def __init__(self, settings, routes, post_routes=None):
        loopback = settings.loopback
        super().__init__(loopback.host, loopback.status_port, settings.limits)
        self.secret = settings.cluster.secret
        self.routes = routes
        self.post_routes = post_routes or {}

    async def answer(self, request):
        """Return the JSON answer of a route."""
        if request.method == "POST" and request.path in self.post_routes:
            return await self.handle_post(request)
        if request.method not in ("GET", "HEAD"):
            raise bad_request("this path of the status door only takes GET")
        view = self.routes.get(request.path)
        if view is None:
            raise CallError(ErrorKind.UNKNOWN_SERVICE, "no such view")
        return json_answer(await view(request.query))

    async def handle_post(self, request):
        """Verify the proof of a message and pass it to its handler.

        Any process on this VM can reach this door. Without the proof, one of
        them could apply its own policy in the whole fleet, as a version that
        the store never had.
        """
        content = await read_message(request, self.limits)
        proof = request.header(PROOF_FIELD)
        if not verify_proof(self.secret, content, proof):
            raise bad_request(f"{PROOF_HEADER} is missing or wrong")
        try:
            return json_answer(await self.post_routes[request.path](content))
        except ProtocolError as error:
            raise bad_request(str(error)) from None
