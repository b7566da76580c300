"""HTTP client of the platform's host list and its reclaim notices."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from result import Err, Ok, Result

__all__ = ["HostEntry", "HostListClient", "HostListing"]

CALL_TIMEOUT_SECONDS = 2.0


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's list.

    ``role`` is ``entry`` for a host that runs a daemon, or ``endpoint``. ``state``
    is ``live`` or ``leaving``. ``leaves_at`` is the announced time of the reclaim
    in seconds since the Unix epoch, or 0 without a reclaim notice.
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
    """The host list at the time ``as_of``, and the current reclaim notices."""

    as_of: float
    hosts: tuple[HostEntry, ...]
    notices: tuple[HostEntry, ...] = ()


class HostListClient:
    """Fetches the host list over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Create a client of the service at base URL ``url``."""
        self._session = session
        self._url = url.rstrip("/")

    async def read(self) -> Result[HostListing, str]:
        """Return the current list, or the reason why it could not be fetched."""
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_SECONDS),
                self._session.get(f"{self._url}/v1/hosts") as response,
            ):
                body = await response.read()
                if response.status != 200:
                    return Err(f"the host list responded with status {response.status}")
                return Ok(msgspec.json.decode(body, type=HostListing))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            return Err(str(e) or type(e).__name__)
