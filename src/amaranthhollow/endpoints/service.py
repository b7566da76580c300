"""HTTP client of plain services."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from amaranthhollow.decisions.retries import AttemptFailure

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ServiceResponse", "ServiceCall", "ServiceClient"]

CONNECT_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True)
class ServiceCall:
    """A request to a service, with the path percent-encoded as the caller sent it.

    ``deadline`` is in seconds since the Unix epoch.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    deadline: float


@dataclass(frozen=True)
class ServiceResponse:
    """A complete response of a service."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Sends requests to plain services through one HTTP session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create a client that uses ``session``."""
        self._session = session

    async def call(
        self, url: str, call: ServiceCall, now: float
    ) -> Result[ServiceResponse, AttemptFailure]:
        """Send ``call`` to the endpoint at ``url`` and return its response."""
        query = f"?{call.query}" if call.query else ""
        target = URL(f"{url}{call.path}{query}", encoded=True)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with (
                asyncio.timeout(max(0.0, call.deadline - now)),
                self._session.request(
                    call.method,
                    target,
                    headers=call.headers,
                    data=call.body,
                    timeout=timeout,
                    allow_redirects=False,
                ) as response,
            ):
                body = await response.read()
                content_type = response.headers.get("Content-Type", "")
                return Ok(ServiceResponse(response.status, content_type, body))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(AttemptFailure.NOT_CONNECTED)
        except TimeoutError:
            return Err(AttemptFailure.TIMED_OUT)
        except (aiohttp.ClientError, OSError, ValueError):
            return Err(AttemptFailure.CONNECTION_LOST)
