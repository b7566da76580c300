"""Client of the platform's API for usage reports and orders of engines.

Only the host that holds the duties makes these calls.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from amaranthhollow.platform import names
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.http_client import Call, CallError, CallFailure, HttpClient

if TYPE_CHECKING:
    from amaranthhollow.decisions.planner import EngineOrder

__all__ = ["CloudClient", "DutyHolder", "encode_usage_report"]


@dataclass(frozen=True)
class DutyHolder:
    """The host that holds the duties, and its fencing token."""

    host: str
    fencing_token: int


def encode_usage_report(window: int, counts_by_workspace: dict[str, int]) -> bytes:
    """Encode a usage report; equal counts result in equal bytes."""
    counts = dict(sorted(counts_by_workspace.items()))
    return msgspec.json.encode({"window_id": window, "counts": counts})


class CloudClient:
    """Sends usage reports and orders of engines.

    ``uncertain_at`` is when a call last ended without a response; it may still arrive.
    """

    def __init__(self, client: HttpClient) -> None:
        """Use the API through ``client``."""
        self._client = client
        self._is_closed = False
        self._open_calls = 0
        self._ended_call = asyncio.Event()
        self.uncertain_at: float | None = None

    async def close(self) -> None:
        """Reject new calls, and wait until the open ones have ended."""
        self._is_closed = True
        while self._open_calls:
            self._ended_call.clear()
            await self._ended_call.wait()

    async def report_usage(
        self, report: bytes, holder: DutyHolder, timeout_seconds: float
    ) -> Result[None, CallError]:
        """Send a report that :func:`encode_usage_report` returned."""
        status = await self._call(b"/usage", report, holder, timeout_seconds)
        if isinstance(status, Err):
            return status
        if status.ok_value != HTTPStatus.OK:
            error = CallError(CallFailure.UNCERTAIN, f"status {status.ok_value}")
            return Err(error)
        return Ok(None)

    async def order_engines(
        self, order: EngineOrder, holder: DutyHolder, timeout_seconds: float
    ) -> Result[bool, CallError]:
        """Set the number of engines; False if the data centre has none available."""
        body = {
            "backend": order.service,
            "zone": order.data_centre,
            "desired_count": order.count,
            "spot": order.is_reclaimable,
        }
        content = msgspec.json.encode(body)
        status = await self._call(b"/scale", content, holder, timeout_seconds)
        if isinstance(status, Err):
            return status
        match status.ok_value:
            case HTTPStatus.OK:
                return Ok(True)
            case HTTPStatus.CONFLICT:
                return Ok(False)
            case other:
                return Err(CallError(CallFailure.UNCERTAIN, f"status {other}"))

    async def _call(
        self, target: bytes, body: bytes, holder: DutyHolder, timeout_seconds: float
    ) -> Result[int, CallError]:
        headers = (
            (names.DUTY_HOLDER, holder.host.encode()),
            (names.FENCING_TOKEN, b"%d" % holder.fencing_token),
        )
        if self._is_closed:
            return Err(CallError(CallFailure.NOTHING_CHANGED, "shutting down"))
        call = Call(b"POST", target, body, headers)
        self._open_calls += 1
        try:
            result = await self._client.call(call, timeout_seconds)
        finally:
            self._open_calls -= 1
            self._ended_call.set()
        if (
            isinstance(result, Err)
            and result.err_value.failure is CallFailure.UNCERTAIN
        ):
            self.uncertain_at = now()
        return result.map(lambda response: response.status)
