"""HTTP calls of the operator and the backend servers, made by worker threads."""

import asyncio
import json
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from .const import HTTP_SECONDS, REDIRECTS


@dataclass(frozen=True)
class Reply:
    """Answer to a call; status 0 if none arrived.

    Attributes:
        redirects: number of redirects that were followed.
    """

    status: int
    body: Any = None
    redirects: int = 0

    @property
    def is_success(self) -> bool:
        """Whether the call was acknowledged."""
        return 200 <= self.status < 300


class _NoRedirects(urllib.request.HTTPRedirectHandler):
    """Leave redirects to the caller, which may follow them for any method."""

    def redirect_request(self, *_arguments: Any) -> None:
        return None


class Web:
    """Worker threads that make HTTP calls."""

    def __init__(self, threads: int = 32) -> None:
        self._workers = ThreadPoolExecutor(threads, "web")
        self._opener = urllib.request.build_opener(_NoRedirects())

    async def call(self, method: str, url: str, body: Any = None) -> Reply:
        """Make one call and follow redirects to the leader."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._workers, self._call, method, url, body)

    def close(self) -> None:
        """End the threads."""
        self._workers.shutdown(cancel_futures=True)

    def _call(self, method: str, url: str, body: Any, redirects: int = 0) -> Reply:
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(url, data, method=method)
        request.add_header("Content-Type", "application/json")
        try:
            with self._opener.open(request, timeout=HTTP_SECONDS) as response:
                return Reply(
                    response.status, json.loads(response.read() or b"{}"), redirects
                )
        except urllib.error.HTTPError as error:
            error.close()
            if error.code == 307 and redirects < REDIRECTS:
                url = error.headers["Location"]
                return self._call(method, url, body, redirects + 1)
            return Reply(error.code, None, redirects)
        except (OSError, ValueError):
            return Reply(0, None, redirects)
