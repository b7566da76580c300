"""Client of the platform's list of hosts and of its reclaim notices."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from result import Err, Ok, Result

__all__ = ["HostEntry", "HostListClient", "HostListing"]

CALL_TIMEOUT_SECONDS = 2.0


class HostEntry(msgspec.Struct, frozen=True):
    """A host as the platform lists it.

    ``role`` is ``entry`` for a daemon's host or ``endpoint``; ``state`` is
    ``live`` or ``leaving``; ``leaves_at`` is an instant in seconds since the Unix
    epoch, or 0 without a notice.
    """

    host: str
    incarnation: int
    address: str
    data_centre: str
    role: str
    state: str = "live"
    deployment: str = ""
    port: int = 0
    leaves_at: float = 0.0


class HostListing(msgspec.Struct, frozen=True):
    """The list as it stood at ``as_of``, and notices known to the cloud API now."""

    as_of: float
    hosts: tuple[HostEntry, ...]
    notices: tuple[HostEntry, ...] = ()


class HostListClient:
    """Reads the host list over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Call the list at ``url`` through ``session``."""
        self._session = session
        self._url = url.rstrip("/")

    async def read(self) -> Result[HostListing, str]:
        """Return the current list, or why it could not be read."""
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                self._session.get(f"{self._url}/v1/hosts") as response,
            ):
                body = await response.read()
                if response.status != 200:
                    return Err(f"status {response.status}")
                return Ok(msgspec.json.decode(body, type=HostListing))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            return Err(str(e) or type(e).__name__)
