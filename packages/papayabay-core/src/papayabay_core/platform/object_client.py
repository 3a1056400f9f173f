"""HTTP client of the platform's object store."""

from urllib.parse import quote

from papayabay_core.exceptions import PlatformAmbiguous, PlatformError
from papayabay_core.platform.transport import PlatformTransport, refuse_status

NOT_FOUND = 404
REMOVED = (200, 202, 204, NOT_FOUND)


class HttpObjectStore:
    """The object store over HTTP; see `ObjectStore` for the contract.

    Parameters
    ----------
    settings : PlatformSettings
    """

    def __init__(self, settings):
        self.base = settings.object_url.rstrip("/")
        self.transport = PlatformTransport(settings)

    async def get(self, name):
        """Return an object's content, or None.

        Raises
        ------
        PlatformError
        """
        url = self.url_of(name)
        reply = await self.transport.read(url)
        if reply.status == NOT_FOUND:
            return None
        refuse_status(url, reply)
        return reply.content

    async def put(self, name, content):
        """Store an object whole, replacing an older one.

        Raises
        ------
        PlatformAmbiguous
            It may or may not have been stored, or stored in part. Putting
            it again is safe.
        """
        url = self.url_of(name)
        try:
            reply = await self.transport.write("PUT", url, content)
            refuse_status(url, reply)
        except PlatformError as error:
            # A broken PUT is sent once more, as it is idempotent.
            # The first may have been applied and only the second refused, so
            # that no failure proves that nothing was stored.
            raise PlatformAmbiguous(str(error)) from None

    async def delete(self, name):
        """Remove an object; one that is not there is no error.

        Raises
        ------
        PlatformAmbiguous
            It may or may not be removed. Removing it again is safe.
        """
        url = self.url_of(name)
        try:
            reply = await self.transport.write("DELETE", url)
            if reply.status not in REMOVED:
                refuse_status(url, reply)
        except PlatformError as error:
            raise PlatformAmbiguous(str(error)) from None

    def url_of(self, name):
        """Return the URL of an object."""
        return f"{self.base}/{quote(name)}"

    async def close(self):
        """Close connections that belong to this client."""
        await self.transport.close()
