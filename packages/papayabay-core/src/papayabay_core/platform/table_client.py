"""HTTP client of the platform's table service."""

import json

from papayabay_core.exceptions import ConditionFailed, PlatformError
from papayabay_core.platform.protocols import Row
from papayabay_core.platform.transport import PlatformTransport, raise_for_status

CONDITION_FAILED = 412


class HttpTableService:
    """`TableService` over HTTP.

    Parameters
    ----------
    settings : PlatformSettings
    """

    def __init__(self, settings):
        base = settings.table_url.rstrip("/")
        self.row_url = f"{base}/row"
        self.rows_url = f"{base}/rows"
        self.transaction_url = f"{base}/transaction"
        self.transport = PlatformTransport(settings)
        self.era = self.transport.era

    async def get(self, key):
        """Return a row, or None if it does not exist.

        Raises
        ------
        PlatformError
        """
        value = await self.fetch(self.row_url, {"key": key})
        row = member_of(value, "row", self.row_url)
        return None if row is None else decode_row(row, self.row_url)

    async def scan(self, prefix, after="", limit=100):
        """Return up to `limit` rows with a key prefix, after a key.

        Raises
        ------
        PlatformError
        """
        query = {"prefix": prefix, "after": after, "limit": str(limit)}
        value = await self.fetch(self.rows_url, query)
        rows = member_of(value, "rows", self.rows_url)
        if not isinstance(rows, list):
            raise PlatformError(f"{self.rows_url}: 'rows' is not a list")
        return [decode_row(row, self.rows_url) for row in rows]

    async def write(self, puts):
        """Apply all writes or none.

        Raises
        ------
        ConditionFailed
            When a row does not have the expected revision.
        PlatformAmbiguous
            When the writes may or may not have been applied.
        PlatformError
            When they were certainly not applied.
        """
        body = {"puts": [encode_put(put) for put in puts]}
        url = self.transaction_url
        reply = await self.transport.write("POST", url, json.dumps(body).encode())
        if reply.status == CONDITION_FAILED:
            raise ConditionFailed(f"{url}: a row does not have the expected revision")
        raise_for_status(url, reply)

    async def fetch(self, url, query):
        """Send a GET request and return the JSON value of the answer."""
        reply = await self.transport.read(url, query)
        raise_for_status(url, reply)
        try:
            return json.loads(reply.content)
        except (ValueError, RecursionError):
            raise PlatformError(f"{url}: the answer is not JSON") from None

    async def close(self):
        """Close all connections."""
        await self.transport.close()


def encode_put(put):
    """Return a `Put` as plain values."""
    return {"key": put.key, "value": put.value, "expected": put.expected}


def member_of(value, name, url):
    """Return a member of a JSON object; `PlatformError` if it is missing."""
    if not isinstance(value, dict) or name not in value:
        raise PlatformError(f"{url}: the answer has no '{name}'")
    return value[name]


def decode_row(value, url):
    """Return the `Row` of plain values.

    Raises
    ------
    PlatformError
        When a member is missing or has the wrong type.
    """
    key, content, revision = (
        member_of(value, name, url) for name in ("key", "value", "revision")
    )
    is_valid = (
        isinstance(key, str)
        and isinstance(content, dict)
        and type(revision) is int
        and revision > 0
    )
    if not is_valid:
        raise PlatformError(f"{url}: a row is malformed")
    return Row(key, content, revision)
