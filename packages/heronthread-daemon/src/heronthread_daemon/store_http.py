"""The adapter to the platform's key-value service over HTTP.

Paths: `GET /keys/{key}`, `GET /range?prefix=&after=`, `PUT /keys/{key}?expect=` with the
value as body, `DELETE /keys/{key}`, `GET /watch/{key}?revision=&wait_s=`. The revision
is in the `Revision` header; 404 means absent, 409 a conflict with the current value.
"""

from __future__ import annotations

import base64
from urllib.parse import quote

import httpx
from heronthread_coordination import Absent, Conflict, Entry, Unavailable, Unknown, Written
from heronthread_coordination.store import ReadOutcome, WriteOutcome
from pydantic import TypeAdapter

REVISION_HEADER = "Revision"
WATCH_TIMEOUT_MARGIN_S = 5.0

RangeItem = tuple[str, str, int]
RANGE: TypeAdapter[list[RangeItem]] = TypeAdapter(list[RangeItem])


class HttpStore:
    """A store over HTTP; `timeout_s` applies to every call except watches."""

    def __init__(self, url: str, client: httpx.AsyncClient, *, timeout_s: float = 3.0) -> None:
        self._url = url
        self._client = client
        self._timeout_s = timeout_s

    async def read(self, key: str) -> ReadOutcome:
        """Return the entry of a key."""
        return await self._get(f"/keys/{_quote(key)}", key, self._timeout_s, {})

    async def watch(self, key: str, *, revision: int, wait_s: float) -> ReadOutcome:
        """Wait until a key changes or `wait_s` has passed, and return its entry."""
        params = {"revision": str(revision), "wait_s": str(wait_s)}
        return await self._get(
            f"/watch/{_quote(key)}", key, wait_s + WATCH_TIMEOUT_MARGIN_S, params
        )

    async def read_range(self, prefix: str, after: str = "") -> list[Entry] | Unavailable:
        """Return the entries under a prefix."""
        params = {"prefix": prefix, "after": after}
        try:
            response = await self._client.get(
                f"{self._url}/range", params=params, timeout=self._timeout_s
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            return Unavailable(f"store: {type(error).__name__}")
        items = RANGE.validate_json(response.content)
        return [Entry(key, base64.b64decode(value), revision) for key, value, revision in items]

    async def write(self, key: str, value: bytes, *, expect: int) -> WriteOutcome:
        """Write a value if the key still has revision `expect`."""
        return await self._change("PUT", key, {"expect": str(expect)}, value)

    async def delete(self, key: str) -> WriteOutcome:
        """Delete a key."""
        return await self._change("DELETE", key, {}, b"")

    async def _get(
        self, path: str, key: str, timeout_s: float, params: dict[str, str]
    ) -> ReadOutcome:
        try:
            response = await self._client.get(self._url + path, params=params, timeout=timeout_s)
        except httpx.HTTPError as error:
            return Unavailable(f"store: {type(error).__name__}")
        if response.status_code >= 500:
            return Unavailable(f"store: status {response.status_code}")
        return _entry(key, response)

    async def _change(
        self, method: str, key: str, params: dict[str, str], value: bytes
    ) -> WriteOutcome:
        url = f"{self._url}/keys/{_quote(key)}"
        try:
            response = await self._client.request(
                method, url, params=params, content=value, timeout=self._timeout_s
            )
        except (httpx.ConnectError, httpx.PoolTimeout) as error:
            return Unavailable(f"store: {type(error).__name__}")
        except httpx.HTTPError as error:
            return Unknown(f"store: {type(error).__name__}")
        if response.status_code == 503:
            return Unavailable("store: status 503")
        if response.status_code >= 500:
            return Unknown(f"store: status {response.status_code}")
        if response.status_code == 409:
            return Conflict(_entry(key, response))
        return Written(int(response.headers[REVISION_HEADER]))


def _quote(key: str) -> str:
    return quote(key, safe="/")


def _entry(key: str, response: httpx.Response) -> Entry | Absent:
    revision = int(response.headers.get(REVISION_HEADER, "0"))
    if revision == 0:
        return Absent(key)
    return Entry(key, response.content, revision)
