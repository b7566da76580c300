"""HTTP sessions that send every request at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

__all__ = ["open_session"]

CONNECTION_LIMIT = 2048


def open_session() -> aiohttp.ClientSession:
    """Open a session without a hidden retry.

    aiohttp sends GET, PUT and DELETE again after a lost connection. A caller
    that said a call is non-idempotent must not have it run twice.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=CONNECTION_LIMIT),
        middlewares=(_send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def _send_once(
    request: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Raise a lost connection as an error that aiohttp does not retry."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error
