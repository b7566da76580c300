"""Client of the platform's key-value service, over etcd's v3 JSON interface."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from amaranthhollow.serving.calls import CallFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = [
    "CallFailure",
    "Entry",
    "KeyValueClient",
    "KeyValueError",
    "Lease",
]

CALL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class KeyValueError:
    """A call that failed, and whether it may have taken effect."""

    failure: CallFailure
    message: str


@dataclass(frozen=True)
class Entry:
    """A value and the revision of its last change; revision 0 if it is absent."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Lease:
    """A lease of the service; ``expires_at`` counts from before it was asked for."""

    lease_id: str
    expires_at: float


class KeyValueClient:
    """Reads, compares and swaps, leases and watches; counts every call by kind.

    Results are ``Err(KeyValueError)`` on any failure; nothing is raised. Keys
    are text, values bytes of at most a megabyte.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        """Call the service at ``url`` through ``session``."""
        self._session = session
        self._url = url.rstrip("/")
        self.calls_by_kind: dict[str, int] = {}

    async def get(self, key: str) -> Result[Entry, KeyValueError]:
        """Read the value of ``key``."""
        reply = await self._call("range", "kv/range", {"key": _encode(key)})
        return reply.map(lambda body: _entry(key, body))

    async def put_if(
        self, key: str, value: bytes, revision: int, lease: Lease | None = None
    ) -> Result[int | None, KeyValueError]:
        """Write ``value`` if ``key`` is at ``revision``.

        Returns the new revision, or None if the key was at another one.
        """
        put = {"key": _encode(key), "value": b64encode(value).decode()}
        if lease is not None:
            put["lease"] = lease.lease_id
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        request = {"compare": [compare], "success": [{"request_put": put}]}
        reply = await self._call("txn", "kv/txn", request)
        return reply.map(
            lambda body: (
                int(body["header"]["revision"]) if body.get("succeeded") else None
            )
        )

    async def delete(self, key: str) -> Result[None, KeyValueError]:
        """Delete ``key`` if it is there."""
        request = {"key": _encode(key)}
        reply = await self._call("deleterange", "kv/deleterange", request)
        return reply.map(lambda body: None)

    async def grant_lease(
        self, seconds: int, now: float
    ) -> Result[Lease, KeyValueError]:
        """Grant a lease that lasts ``seconds`` from before it was asked for."""
        reply = await self._call("lease", "lease/grant", {"TTL": str(seconds)})
        return reply.map(lambda body: Lease(body["ID"], now + seconds))

    async def renew_lease(
        self, lease: Lease, now: float
    ) -> Result[Lease | None, KeyValueError]:
        """Renew ``lease``; None if it has lapsed."""
        reply = await self._call("lease", "lease/keepalive", {"ID": lease.lease_id})
        return reply.map(lambda body: _renewed(lease, body, now))

    async def watch(self, key: str) -> AsyncIterator[Entry]:
        """Yield every change of ``key`` until the connection ends."""
        self._count("watch")
        request = {"create_request": {"key": _encode(key)}}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=request, timeout=timeout
            ) as response:
                if response.status != 200:
                    return
                async for line in response.content:
                    for entry in _watched(key, line):
                        yield entry
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return

    async def _call(
        self, kind: str, path: str, request: dict[str, Any]
    ) -> Result[dict[str, Any], KeyValueError]:
        self._count(kind)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self._session.post(
                    f"{self._url}/v3/{path}", json=request
                ) as response:
                    body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return Err(KeyValueError(CallFailure.NOTHING_CHANGED, str(error)))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            message = str(error) or type(error).__name__
            return Err(KeyValueError(CallFailure.UNCERTAIN, message))
        return _decode_reply(response.status, body)

    def _count(self, kind: str) -> None:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1


def _decode_reply(status: int, body: bytes) -> Result[dict[str, Any], KeyValueError]:
    """A 503 says that the call was not carried out; other errors leave it open."""
    if status == 503:
        message = "service unavailable"
        return Err(KeyValueError(CallFailure.NOTHING_CHANGED, message))
    if status != 200:
        return Err(KeyValueError(CallFailure.UNCERTAIN, f"status {status}"))
    try:
        return Ok(msgspec.json.decode(body, type=dict[str, Any]))
    except msgspec.DecodeError as error:
        return Err(KeyValueError(CallFailure.UNCERTAIN, str(error)))


def _entry(key: str, body: dict[str, Any]) -> Entry:
    for item in body.get("kvs", ()):
        return Entry(key, b64decode(item["value"]), int(item["mod_revision"]))
    return Entry(key, b"", 0)


def _renewed(lease: Lease, body: dict[str, Any], now: float) -> Lease | None:
    seconds = int(body["result"].get("TTL", 0))
    return Lease(lease.lease_id, now + seconds) if seconds > 0 else None


def _watched(key: str, line: bytes) -> list[Entry]:
    body = msgspec.json.decode(line, type=dict[str, Any])
    return [
        Entry(
            key,
            b64decode(event["kv"].get("value", "")),
            int(event["kv"]["mod_revision"]),
        )
        for event in body["result"].get("events", ())
        if event.get("type", "PUT") == "PUT"
    ]


def _encode(key: str) -> str:
    return b64encode(key.encode()).decode()
