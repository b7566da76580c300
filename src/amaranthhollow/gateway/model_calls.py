"""Produces the answer to one model request, over several attempts if needed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from amaranthhollow.decisions.claim_records import digest
from amaranthhollow.decisions.prompts import shape_from_text
from amaranthhollow.decisions.recovery import (
    LetFinish,
    MoveCache,
    RunningStream,
    plan_migration,
)
from amaranthhollow.decisions.retries import AttemptFailure, Outcome
from amaranthhollow.endpoints.engine import AttemptFailed, EngineRequest
from amaranthhollow.gateway.connection_losses import report_connection_loss
from amaranthhollow.gateway.problems import Problem, quarantined_problem
from amaranthhollow.gateway.suspects import suspect_slot

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.gateway.lifecycle import RequestLifecycle
    from amaranthhollow.gateway.live_streams import LiveStream
    from amaranthhollow.gateway.requests import ModelRequest

__all__ = ["ModelCall"]

MAX_RETRIES = 4
FIRST_TOKEN_TIMEOUT_SECONDS = 10.0
NEXT_TOKEN_TIMEOUT_SECONDS = 2.0
SUPERVISION_INTERVAL_SECONDS = 0.1
ENDPOINT_POLL_SECONDS = 0.05
DEFAULT_SECONDS_PER_TOKEN = 0.033


class ModelCall:
    """Runs the attempts of one request and adds their tokens to a live stream."""

    def __init__(
        self,
        node: Node,
        request: ModelRequest,
        request_id: str,
        stream: LiveStream,
        deadline: float,
        lifecycle: RequestLifecycle,
    ) -> None:
        """Prepare a call that adds the answer to ``stream``.

        ``deadline`` is in seconds since the Unix epoch.
        """
        self._node = node
        self._request = request
        self._request_id = request_id
        self._deployment = lifecycle.deployment
        self._stream = stream
        self._deadline = deadline
        self._lifecycle = lifecycle
        self._attempts_sent = 0
        self._retries = 0
        self._tried: set[str] = set()
        self._avoided: set[str] = set()
        self._kv_target: Endpoint | None = None
        self._kv_handle = ""
        self._shape = shape_from_text(lifecycle.deployment, request.prompt_text)
        self._pending_tokens = 0
        self._request_digest = digest(
            lifecycle.deployment,
            request.prompt_text,
            str(request.max_tokens),
            repr(sorted(request.sampling.items())),
        )

    async def run(self) -> None:
        """Produce the answer; the stream ends complete or with a problem."""
        try:
            async with asyncio.timeout(self._deadline - self._node.now()):
                problem = await self._run_attempts()
        except TimeoutError:
            problem = self._problem(504, "deadline-passed", "The deadline passed.")
        except asyncio.CancelledError:
            self._lifecycle.advance("abandon")
            raise
        if problem is None:
            self._lifecycle.advance("answer")
        else:
            self._lifecycle.end(problem.outcome)
        self._stream.end(problem)

    async def _run_attempts(self) -> Problem | None:
        while not self._stream.assembler.is_complete:
            if self._node.quarantine.is_quarantined(
                self._request_digest, self._node.now()
            ):
                return quarantined_problem()
            endpoint = await self._wait_for_endpoint()
            if endpoint is None:
                detail = f"No endpoint of {self._deployment!r} takes requests now."
                return self._problem(503, "no-endpoint", detail)
            try:
                async with suspect_slot(
                    self._node, endpoint, self._request_digest
                ) as is_acquired:
                    if is_acquired:
                        self._tried.add(endpoint.host)
                        await self._attempt(endpoint)
                    else:
                        self._avoided.add(endpoint.host)
                        await asyncio.sleep(ENDPOINT_POLL_SECONDS)
            except AttemptFailed as error:
                problem = await self._handle_failure(endpoint, error)
                if problem is not None:
                    return problem
        return None

    async def _wait_for_endpoint(self) -> Endpoint | None:
        """Choose an endpoint; return None if none is usable.

        A suspect, or a request that was sent before, waits for a usable endpoint.
        """
        target, self._kv_target = self._kv_target, None
        if target is not None:
            return target
        node = self._node
        while True:
            is_suspect = node.quarantine.is_suspect(self._request_digest)
            endpoint = self._choose_endpoint()
            self._avoided.clear()
            may_wait = is_suspect or self._attempts_sent
            if endpoint is not None or not may_wait:
                return endpoint
            await asyncio.sleep(ENDPOINT_POLL_SECONDS)

    def _choose_endpoint(self) -> Endpoint | None:
        """Choose an endpoint, preferably one that was not tried before."""
        choose = self._node.choose
        untried = choose(self._deployment, self._shape, self._tried | self._avoided)
        return untried or choose(self._deployment, self._shape, self._avoided)

    async def _attempt(self, endpoint: Endpoint) -> None:
        """Run one attempt until it ends or the stream moves to another endpoint."""
        node = self._node
        assembler = self._stream.assembler
        request = EngineRequest(
            request_id=f"{self._request_id}-{assembler.attempt + 1}",
            model=self._request.model,
            prompt=self._request.prompt,
            max_tokens=self._request.max_tokens,
            attempt=assembler.begin_attempt(),
            sampling=self._request.sampling,
            emitted=assembler.text,
            position=assembler.position,
            kv_handle=self._kv_handle,
        )
        self._kv_handle = ""
        self._attempts_sent += 1
        self._lifecycle.advance("dispatch")
        self._pending_tokens = node.chooser.record_sent(endpoint.host, self._shape)
        reader = asyncio.create_task(self._read_stream(endpoint, request))
        try:
            await self._supervise(endpoint, request, reader)
        finally:
            self._record_prompt_read(endpoint)
            node.chooser.record_ended(endpoint.host)
            reader.cancel()

    def _record_prompt_read(self, endpoint: Endpoint) -> None:
        """Record once that the endpoint has read the prompt of the current attempt."""
        self._node.chooser.record_prompt_read(endpoint.host, self._pending_tokens)
        self._pending_tokens = 0

    async def _read_stream(self, endpoint: Endpoint, request: EngineRequest) -> None:
        async for chunk in self._node.engines.stream(endpoint.url, request):
            if self._lifecycle.state == "dispatched":
                self._lifecycle.advance("stream")
                self._record_prompt_read(endpoint)
            self._stream.accept(chunk)

    async def _supervise(
        self, endpoint: Endpoint, request: EngineRequest, reader: asyncio.Task[None]
    ) -> None:
        """Wait for the attempt to end; time out a stall, and follow reclaim notices."""
        node = self._node
        assembler = self._stream.assembler
        started_at = progress_at = node.now()
        position = assembler.position
        while True:
            done, _ = await asyncio.wait({reader}, timeout=SUPERVISION_INTERVAL_SECONDS)
            if done:
                reader.result()
                self._complete_attempt(endpoint)
                return
            now = node.now()
            if assembler.position > position:
                position, progress_at = assembler.position, now
            is_first = position == request.position
            limit = (
                FIRST_TOKEN_TIMEOUT_SECONDS if is_first else NEXT_TOKEN_TIMEOUT_SECONDS
            )
            if now - progress_at > limit:
                raise AttemptFailed(AttemptFailure.TIMED_OUT, "the stream stalled")
            if await self._move_if_reclaimed(endpoint, request, now - started_at):
                return

    def _complete_attempt(self, endpoint: Endpoint) -> None:
        self._node.endpoints.record_success(endpoint.host)
        self._node.chooser.record_success(endpoint.host, self._node.now())
        if not self._stream.assembler.is_complete:
            raise AttemptFailed(AttemptFailure.CONNECTION_LOST, "no finish reason")

    async def _move_if_reclaimed(
        self, endpoint: Endpoint, request: EngineRequest, elapsed: float
    ) -> bool:
        """Move a stream that cannot finish before its endpoint leaves.

        Return whether the attempt at this endpoint ends.
        """
        node = self._node
        current = node.endpoints.get(endpoint.host)
        if current is None or not current.is_reclaimed:
            return False
        assembler = self._stream.assembler
        produced = assembler.position - request.position
        running = RunningStream(
            context_tokens=self._stream.prompt_tokens + assembler.position,
            remaining_tokens=self._request.max_tokens - assembler.position,
            seconds_per_token=elapsed / produced
            if produced
            else DEFAULT_SECONDS_PER_TOKEN,
        )
        match plan_migration(running, current.listed.leaves_at, node.now()):
            case LetFinish():
                return False
            case MoveCache():
                await self._move_cache(endpoint, request)
        node.counters.increment("streams.moved")
        return True

    async def _move_cache(self, source: Endpoint, request: EngineRequest) -> None:
        node = self._node
        target = self._choose_endpoint()
        if target is None:
            return
        moved = await node.engines.move_kv(source.url, target.url, request.request_id)
        if isinstance(moved, Err):
            node.counters.increment("streams.kv_move_failed")
            return
        node.counters.increment("streams.kv_moved")
        self._kv_target, self._kv_handle = target, moved.ok_value.handle

    async def _handle_failure(
        self, endpoint: Endpoint, error: AttemptFailed
    ) -> Problem | None:
        """Record a failed attempt; return the problem, or None to retry the request."""
        node = self._node
        if error.failure is AttemptFailure.NOT_CONNECTED:
            self._attempts_sent -= 1
        if 400 <= error.status < 500 and error.status not in (408, 429):
            detail = f"The endpoint refused the request: {error}"
            return Problem(
                status=error.status,
                kind="refused-by-endpoint",
                title="The endpoint refused the request",
                detail=detail,
                outcome=Outcome.FAILED,
            )
        node.endpoints.record_failure(endpoint.host, node.now())
        node.chooser.record_failure(endpoint.host, node.now())
        node.counters.increment(f"attempts.{error.failure.name.lower()}")
        current = node.endpoints.get(endpoint.host)
        if current is None or current.is_reclaimed:
            return None
        delay = 0.0
        if error.failure is AttemptFailure.CONNECTION_LOST:
            delay = report_connection_loss(node, endpoint, self._request_digest)
        self._retries += 1
        if self._retries <= MAX_RETRIES and node.try_spend_retry(self._deployment):
            await asyncio.sleep(delay)
            return None
        return self._problem(503, "retries-exhausted", f"The attempt failed: {error}.")

    def _problem(self, status: int, kind: str, detail: str) -> Problem:
        """Return the problem; the request counts as not run if no attempt was sent."""
        return Problem(
            status=status,
            kind=kind,
            title="The request was not answered",
            detail=detail,
            outcome=Outcome.FAILED if self._attempts_sent else Outcome.NOT_RUN,
            retry_after_seconds=self._node.retry_after_seconds(1.0),
        )
