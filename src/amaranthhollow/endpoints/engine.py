"""Client of model engines: token streams, orders and transfers of KV cache."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.control import ORDER_TIMEOUT_SECONDS, ModelVersion, Order
from amaranthhollow.decisions.retries import AttemptFailure
from amaranthhollow.decisions.streams import Chunk, FinishReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["AttemptFailed", "EngineClient", "EngineRequest", "KvHandle"]

CONNECT_TIMEOUT_SECONDS = 0.5
CONTROL_TIMEOUT_SECONDS = 1.0


class AttemptFailed(Exception):
    """An attempt ended without a complete response.

    ``status`` is the HTTP status of an engine that rejected the request, else 0.
    """

    def __init__(self, failure: AttemptFailure, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.failure = failure
        self.status = status


@dataclass(frozen=True)
class EngineRequest:
    """A request for a response, or for the remainder of one.

    ``prompt`` is text for a completion, or messages for a chat. ``emitted`` is the
    text of the response that callers already have, of ``position`` tokens.
    """

    request_id: str
    model: str
    prompt: str | tuple[dict[str, Any], ...]
    max_tokens: int
    attempt: int
    sampling: dict[str, Any] = field(default_factory=dict)
    emitted: str = ""
    position: int = 0
    kv_handle: str = ""

    @property
    def path(self) -> str:
        """The path of the engine's API for this kind of prompt."""
        is_text = isinstance(self.prompt, str)
        return "/v1/completions" if is_text else "/v1/chat/completions"

    def body(self) -> dict[str, Any]:
        """Return the JSON body, with the emitted text appended to the prompt."""
        body: dict[str, Any] = {
            **self.sampling,
            "model": self.model,
            "max_tokens": self.max_tokens - self.position,
            "stream": True,
            "request_id": self.request_id,
        }
        if self.kv_handle:
            body["kv_handle"] = self.kv_handle
        if isinstance(self.prompt, str):
            return {**body, "prompt": self.prompt + self.emitted}
        messages = list(self.prompt)
        if self.position:
            messages.append({"role": "assistant", "content": self.emitted})
            body["continue_final_message"] = True
            body["add_generation_prompt"] = False
        return {**body, "messages": messages}


class KvHandle(msgspec.Struct, frozen=True):
    """A handle of exported KV cache, and the number of tokens in it."""

    handle: str
    tokens: int


class _OrdersBody(msgspec.Struct):
    wanted: ModelVersion | None = None


class _Choice(msgspec.Struct):
    text: str = ""
    delta: dict[str, Any] = msgspec.field(default_factory=dict)
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)
    sequence: int | None = None


_event_decoder = msgspec.json.Decoder(_Event)


class EngineClient:
    """Sends requests to model engines through one HTTP session."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Create a client that uses ``session``."""
        self._session = session

    async def stream(self, url: str, request: EngineRequest) -> AsyncIterator[Chunk]:
        """Yield the chunks of an attempt; raise AttemptFailed if it is incomplete."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session.post(
                f"{url}{request.path}", json=request.body(), timeout=timeout
            ) as response:
                if response.status != 200:
                    text = (await response.text())[:200]
                    raise AttemptFailed(
                        AttemptFailure.ENDPOINT_ERROR, text, response.status
                    )
                async for chunk in _read_chunks(response.content, request):
                    yield chunk
        except aiohttp.ClientConnectorError as error:
            raise AttemptFailed(AttemptFailure.NOT_CONNECTED, str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise AttemptFailed(AttemptFailure.NOT_CONNECTED, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            message = str(error) or type(error).__name__
            raise AttemptFailed(AttemptFailure.CONNECTION_LOST, message) from error
        except (msgspec.MsgspecError, ValueError) as error:
            message = f"the endpoint sent no valid event: {error}"
            raise AttemptFailed(AttemptFailure.ENDPOINT_ERROR, message) from error

    async def fetch_last_order(self, url: str) -> Result[ModelVersion | None, str]:
        """Return what an engine was last ordered to serve, or None."""
        try:
            async with (
                asyncio.timeout(CONTROL_TIMEOUT_SECONDS),
                self._session.get(f"{url}/orders") as response,
            ):
                content = await response.read()
                return Ok(msgspec.json.decode(content, type=_OrdersBody).wanted)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            return Err(str(e) or type(e).__name__)

    async def send_order(self, url: str, order: Order) -> Result[None, str]:
        """Send an order; an engine that checks fencing tokens rejects a stale one."""
        content = msgspec.json.encode(order)
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_SECONDS),
                self._session.post(f"{url}/orders", data=content) as response,
            ):
                if response.status != 200:
                    return Err(f"status {response.status}")
                return Ok(None)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(str(error) or type(error).__name__)

    async def move_kv(
        self, source: str, target: str, request_id: str
    ) -> Result[KvHandle, str]:
        """Export a request's KV cache at ``source`` and import it at ``target``."""
        exported = await self._post_kv(
            f"{source}/kv/export", {"request_id": request_id}
        )
        if isinstance(exported, Err):
            return exported
        return await self._post_kv(
            f"{target}/kv/import",
            {"source": source, "handle": exported.ok_value.handle},
        )

    async def _post_kv(self, url: str, body: dict[str, Any]) -> Result[KvHandle, str]:
        try:
            async with (
                asyncio.timeout(CONTROL_TIMEOUT_SECONDS),
                self._session.post(url, json=body) as response,
            ):
                content = await response.read()
                if response.status != 200:
                    return Err(f"status {response.status}")
                return Ok(msgspec.json.decode(content, type=KvHandle))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as e:
            return Err(str(e) or type(e).__name__)


async def _read_chunks(
    content: aiohttp.StreamReader, request: EngineRequest
) -> AsyncIterator[Chunk]:
    """Decode the SSE events of an engine; raise if they end before ``[DONE]``."""
    position = request.position
    async for line in content:
        if not line.startswith(b"data:"):
            continue
        data = line[5:].strip()
        if data == b"[DONE]":
            return
        event = _event_decoder.decode(data)
        for choice in event.choices:
            text = choice.text or choice.delta.get("content") or ""
            end = FinishReason(choice.finish_reason) if choice.finish_reason else None
            if event.sequence is not None:
                position = request.position + event.sequence
            if text or end:
                yield Chunk(request.attempt, position, text, end)
                position += 1
    raise AttemptFailed(AttemptFailure.CONNECTION_LOST, "the stream ended early")
