"""Calls of the command line to an entry host."""

from __future__ import annotations

import os
from typing import Any

import httpx

from .exits import ApplyConflict, BadInput, CommandError, HostUnreachable

DEFAULT_URL = "http://127.0.0.1:8080"
URL_VARIABLE = "HERONTHREAD_URL"
TIMEOUT_S = 30.0


class Client:
    """One entry host; use it as a context manager.

    `url` falls back to the variable HERONTHREAD_URL, then to `DEFAULT_URL`.
    """

    def __init__(self, url: str | None = None) -> None:
        self.url = url or os.environ.get(URL_VARIABLE, DEFAULT_URL)
        self._http = httpx.Client(base_url=self.url, timeout=TIMEOUT_S)

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *error: object) -> None:
        self._http.close()

    def get(self, path: str, **params: Any) -> Any:
        """Return the JSON body of a GET; raises CommandError on a problem."""
        return self._call("GET", path, params, None)

    def post(self, path: str, content: bytes | None = None, **params: Any) -> Any:
        """Return the JSON body of a POST."""
        return self._call("POST", path, params, content)

    def put(self, path: str, content: bytes, **params: Any) -> Any:
        """Return the JSON body of a PUT."""
        return self._call("PUT", path, params, content)

    def delete(self, path: str, **params: Any) -> Any:
        """Return the JSON body of a DELETE."""
        return self._call("DELETE", path, params, None)

    def _call(self, method: str, path: str, params: dict[str, Any], content: bytes | None) -> Any:
        given = {name: value for name, value in params.items() if value is not None}
        try:
            response = self._http.request(method, path, params=given, content=content)
        except httpx.HTTPError as error:
            text = f"{self.url} gave no answer ({type(error).__name__}); name a host with --url"
            raise HostUnreachable(text) from error
        if response.is_success:
            return response.json()
        raise _to_error(response)


def _to_error(response: httpx.Response) -> CommandError:
    try:
        problem = response.json()
    except ValueError:
        return HostUnreachable(f"status {response.status_code} without a problem document")
    text = f"{problem['title']}: {problem['detail']}"
    if "problems" in problem:
        lines = [f"{p['path']}: {p['what']}; {p['mend']}" for p in problem["problems"]]
        return BadInput("\n".join(lines))
    if problem["code"] == "superseded":
        return ApplyConflict(text)
    if response.status_code >= 500:
        return HostUnreachable(text)
    return CommandError(text)
