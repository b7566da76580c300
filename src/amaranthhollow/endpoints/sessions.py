"""HTTP sessions that send each request at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

__all__ = ["open_session"]

MAX_CONNECTIONS = 2048


def open_session() -> aiohttp.ClientSession:
    """Open a session that does not retry requests.

    aiohttp sends GET, PUT and DELETE again after a lost connection, but a request
    that its caller marked as non-idempotent must not run twice.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        middlewares=(_without_retry,),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _without_retry(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Convert the loss of a connection to an error that aiohttp does not retry."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error
