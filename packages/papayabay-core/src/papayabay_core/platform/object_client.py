"""HTTP client of the platform's object store."""

from urllib.parse import quote

from papayabay_core.exceptions import PlatformAmbiguous, PlatformError
from papayabay_core.platform.transport import PlatformTransport, raise_for_status

NOT_FOUND = 404
REMOVED = (200, 202, 204, NOT_FOUND)


class HttpObjectStore:
    """`ObjectStore` over HTTP.

    Parameters
    ----------
    settings : PlatformSettings
    """

    def __init__(self, settings):
        self.base = settings.object_url.rstrip("/")
        self.transport = PlatformTransport(settings)

    async def get(self, name):
        """Return the content of an object, or None if it does not exist.

        Raises
        ------
        PlatformError
        """
        url = self.url_of(name)
        reply = await self.transport.read(url)
        if reply.status == NOT_FOUND:
            return None
        raise_for_status(url, reply)
        return reply.content

    async def put(self, name, content):
        """Store an object, replacing an existing one.

        Raises
        ------
        PlatformAmbiguous
            The object may or may not have been stored, or only a part of it.
            Repeating the put is safe.
        """
        url = self.url_of(name)
        try:
            reply = await self.transport.write("PUT", url, content)
            raise_for_status(url, reply)
        except PlatformError as error:
            # The transport retries a PUT once if the connection fails. The
            # first attempt may have been applied although the second was
            # refused, so no failure proves that nothing was stored.
            raise PlatformAmbiguous(str(error)) from None

    async def delete(self, name):
        """Delete an object; a missing one is not an error.

        Raises
        ------
        PlatformAmbiguous
            The object may or may not have been deleted. Repeating the delete
            is safe.
        """
        url = self.url_of(name)
        try:
            reply = await self.transport.write("DELETE", url)
            if reply.status not in REMOVED:
                raise_for_status(url, reply)
        except PlatformError as error:
            raise PlatformAmbiguous(str(error)) from None

    def url_of(self, name):
        """Return the URL of an object."""
        return f"{self.base}/{quote(name)}"

    async def close(self):
        """Close all connections."""
        await self.transport.close()
