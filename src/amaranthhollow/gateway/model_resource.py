"""OpenAI-compatible completions, as one document or streamed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from uuid import uuid4

import logbook
import msgspec

from amaranthhollow.configuration.model import ModelDeployment
from amaranthhollow.decisions.claim_records import digest
from amaranthhollow.decisions.retries import Outcome
from amaranthhollow.gateway.admission import admit
from amaranthhollow.gateway.answers import ModelEntry, ModelList, new_answer_format
from amaranthhollow.gateway.lifecycle import RequestLifecycle
from amaranthhollow.gateway.live_streams import LiveStream
from amaranthhollow.gateway.model_calls import ModelCall
from amaranthhollow.gateway.problems import (
    Problem,
    ProblemError,
    internal_error,
    invalid_request,
)
from amaranthhollow.gateway.requests import (
    configuration_in_force,
    idempotency_key,
    parse_model_request,
    read_body,
    request_deadline,
    workspace_of,
)

if TYPE_CHECKING:
    import falcon.asgi

    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.answers import AnswerFormat
    from amaranthhollow.gateway.live_streams import StreamRegistry
    from amaranthhollow.gateway.requests import ModelRequest
    from amaranthhollow.gateway.stream_lookup import StreamLookup

__all__ = ["CompletionResource", "ModelListResource"]

log = logbook.Logger("completions")

LAST_EVENT_HEADER = "Last-Event-ID"


class CompletionResource:
    """``POST /v1/completions`` and ``POST /v1/chat/completions``."""

    def __init__(
        self,
        node: Node,
        streams: StreamRegistry,
        lookup: StreamLookup,
        *,
        is_chat: bool,
    ) -> None:
        """Serve chat completions if ``is_chat``, else text completions."""
        self._node = node
        self._streams = streams
        self._lookup = lookup
        self._is_chat = is_chat
        self._tasks: set[asyncio.Task[None]] = set()

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond to a request for a completion."""
        node = self._node
        configuration = configuration_in_force(node.applied)
        workspace = workspace_of(request, configuration)
        body = await read_body(request, configuration.requests)
        deadline = request_deadline(request, configuration.requests, node.now())
        model_request = parse_model_request(
            body, configuration.requests, is_chat=self._is_chat
        )
        deployment = configuration.deployment_of_model(model_request.model)
        if deployment is None:
            detail = f"The model {model_request.model!r} does not exist."
            raise invalid_request("model", detail, status=404)
        key = idempotency_key(request)
        after_id = _last_event_id(request)
        key_digest = (
            _stream_key_digest(workspace, deployment, key, model_request)
            if key
            else None
        )
        stream = await self._find_stream(key_digest, after_id)
        if stream is None or not (stream.is_ended or stream.has_producer):
            lifecycle = RequestLifecycle(node, workspace, deployment)
            if stream is None:
                admit(node, lifecycle, configuration)
            else:
                # The request was admitted before; resuming it needs no admission.
                lifecycle.advance("admit")
            stream = self._start_call(
                model_request, lifecycle, deadline, key_digest, stream
            )
        await stream.wait_for_events_after(after_id)
        if stream.problem is not None and stream.assembler.position <= after_id:
            raise ProblemError(stream.problem)
        answer_format = new_answer_format(model_request, node.now())
        if model_request.is_streamed:
            response.set_header("Cache-Control", "no-cache")
            response.sse = answer_format.events(stream, after_id)
        else:
            await self._render_document(response, answer_format, stream)

    async def _find_stream(
        self, key_digest: bytes | None, after_id: int
    ) -> LiveStream | None:
        """Return the stream of a repeated key; None if there is none or it failed.

        Peers are asked only if the caller resumes after an event.
        """
        if key_digest is None:
            return None
        stream = self._streams.get(key_digest)
        if stream is None and after_id:
            stream = await self._lookup.find(key_digest)
        if stream is not None and stream.problem is not None:
            return None
        return stream

    def _start_call(
        self,
        model_request: ModelRequest,
        lifecycle: RequestLifecycle,
        deadline: float,
        key_digest: bytes | None,
        existing: LiveStream | None,
    ) -> LiveStream:
        """Start producing an answer, or the remainder of an ``existing`` one."""
        prompt_tokens = len(model_request.prompt_text.split())
        stream = existing or LiveStream(prompt_tokens)
        stream.is_resumable = key_digest is not None
        if key_digest is not None:
            self._streams.put(key_digest, stream)
        call = ModelCall(
            self._node, model_request, uuid4().hex, stream, deadline, lifecycle
        )
        call_task = asyncio.create_task(call.run())
        stream.attach_producer(cancel_producer=call_task.cancel)
        self._tasks.add(call_task)
        call_task.add_done_callback(lambda task: self._on_call_done(task, stream))
        return stream

    def _on_call_done(self, call_task: asyncio.Task[None], stream: LiveStream) -> None:
        self._tasks.discard(call_task)
        if call_task.cancelled():
            self._node.counters.increment("streams.interrupted")
        elif call_task.exception() is not None:
            log.error(
                "model call failed: {!r}; its stream ends with an internal error",
                call_task.exception(),
            )
            stream.end(internal_error(Outcome.FAILED))

    async def _render_document(
        self,
        response: falcon.asgi.Response,
        answer_format: AnswerFormat,
        stream: LiveStream,
    ) -> None:
        async for _ in stream.follow(0):
            pass
        if stream.problem is not None:
            raise ProblemError(stream.problem)
        if not stream.is_complete:
            raise ProblemError(_interrupted_problem(self._node))
        response.content_type = "application/json"
        response.data = answer_format.complete_document(stream)


class ModelListResource:
    """``GET /v1/models``."""

    def __init__(self, node: Node) -> None:
        """Serve the models of the configuration in force."""
        self._node = node

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond with the list of models."""
        configuration = configuration_in_force(self._node.applied)
        workspace_of(request, configuration)
        models = tuple(
            ModelEntry(deployment.model, owned_by=name)
            for name, deployment in configuration.deployments.items()
            if isinstance(deployment, ModelDeployment)
        )
        response.content_type = "application/json"
        response.data = msgspec.json.encode(ModelList(models))


def _stream_key_digest(
    workspace: str, deployment: str, key: str, request: ModelRequest
) -> bytes:
    """Return the digest of a stream; the same key with another body differs."""
    sampling = repr(sorted(request.sampling.items()))
    tokens = str(request.max_tokens)
    return digest(workspace, deployment, key, request.prompt_text, tokens, sampling)


def _interrupted_problem(node: Node) -> Problem:
    return Problem(
        status=503,
        kind="host-reclaimed",
        title="The entry host is being reclaimed",
        detail="Send the request again with its Idempotency-Key for the whole answer.",
        outcome=Outcome.FAILED,
        retry_after_seconds=node.retry_after_seconds(1.0),
    )


def _last_event_id(request: falcon.asgi.Request) -> int:
    text = request.get_header(LAST_EVENT_HEADER)
    if text is None:
        return 0
    if not text.isdecimal() or len(text) > 9:
        detail = f"{LAST_EVENT_HEADER} must be the id of an event."
        raise invalid_request(LAST_EVENT_HEADER, detail)
    return int(text)
