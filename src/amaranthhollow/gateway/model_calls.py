"""Produces one answer of a model, over as many attempts as it takes."""

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
from amaranthhollow.gateway.losses import note_loss
from amaranthhollow.gateway.problems import Problem, quarantined
from amaranthhollow.gateway.suspects import suspect_slot

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.gateway.lifecycle import RequestLifecycle
    from amaranthhollow.gateway.live_streams import LiveStream
    from amaranthhollow.gateway.requests import ModelRequest

__all__ = ["ModelCall"]

MAX_RETRIES = 4
FIRST_TOKEN_STALL_SECONDS = 10.0
TOKEN_STALL_SECONDS = 2.0
SUPERVISE_SECONDS = 0.1
ENDPOINT_WAIT_SECONDS = 0.05
ASSUMED_TOKEN_SECONDS = 0.033


class ModelCall:
    """Runs the attempts of one request and feeds a live stream with tokens."""

    def __init__(
        self,
        node: Node,
        request: ModelRequest,
        request_id: str,
        stream: LiveStream,
        deadline: float,
        lifecycle: RequestLifecycle,
    ) -> None:
        """Produce the answer to ``request`` into ``stream`` until ``deadline``."""
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
        self._digest = digest(
            lifecycle.deployment,
            request.prompt_text,
            str(request.max_tokens),
            repr(sorted(request.sampling.items())),
        )

    async def run(self) -> None:
        """Produce the answer; the stream ends with it or with a problem."""
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
            if self._node.quarantine.is_quarantined(self._digest, self._node.now()):
                return quarantined()
            endpoint = await self._choose()
            if endpoint is None:
                detail = f"No endpoint of {self._deployment!r} takes requests now."
                return self._problem(503, "no-endpoint", detail)
            try:
                async with suspect_slot(self._node, endpoint, self._digest) as is_held:
                    if is_held:
                        self._tried.add(endpoint.host)
                        await self._attempt(endpoint)
                    else:
                        self._avoided.add(endpoint.host)
                        await asyncio.sleep(ENDPOINT_WAIT_SECONDS)
            except AttemptFailed as error:
                problem = await self._after_failure(endpoint, error)
                if problem is not None:
                    return problem
        return None

    async def _choose(self) -> Endpoint | None:
        """Choose an endpoint; a request that was sent once waits for a usable one."""
        target, self._kv_target = self._kv_target, None
        if target is not None:
            return target
        node = self._node
        while True:
            is_suspect = node.quarantine.is_suspect(self._digest)
            endpoint = self._pick()
            self._avoided.clear()
            may_wait = is_suspect or self._attempts_sent
            if endpoint is not None or not may_wait:
                return endpoint
            await asyncio.sleep(ENDPOINT_WAIT_SECONDS)

    def _pick(self) -> Endpoint | None:
        """Choose an endpoint; one that was tried only when there is no other."""
        choose = self._node.choose
        fresh = choose(self._deployment, self._shape, self._tried | self._avoided)
        return fresh or choose(self._deployment, self._shape, self._avoided)

    async def _attempt(self, endpoint: Endpoint) -> None:
        """Run one attempt, until it ends or the stream has to move."""
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
        pump = asyncio.create_task(self._pump(endpoint, request))
        try:
            await self._supervise(endpoint, request, pump)
        finally:
            self._prompt_read(endpoint)
            node.chooser.record_ended(endpoint.host)
            pump.cancel()

    def _prompt_read(self, endpoint: Endpoint) -> None:
        """Note once that the prompt of the running attempt waits no longer."""
        self._node.chooser.record_prompt_read(endpoint.host, self._pending_tokens)
        self._pending_tokens = 0

    async def _pump(self, endpoint: Endpoint, request: EngineRequest) -> None:
        async for chunk in self._node.engines.stream(endpoint.url, request):
            if self._lifecycle.state == "dispatched":
                self._lifecycle.advance("stream")
                self._prompt_read(endpoint)
            self._stream.accept(chunk)

    async def _supervise(
        self, endpoint: Endpoint, request: EngineRequest, pump: asyncio.Task[None]
    ) -> None:
        """Wait for the attempt; notice a stall, and that the endpoint is leaving."""
        node = self._node
        assembler = self._stream.assembler
        started_at = progress_at = node.now()
        position = assembler.position
        while True:
            done, _ = await asyncio.wait({pump}, timeout=SUPERVISE_SECONDS)
            if done:
                pump.result()
                self._finish(endpoint)
                return
            now = node.now()
            if assembler.position > position:
                position, progress_at = assembler.position, now
            is_first = position == request.position
            limit = FIRST_TOKEN_STALL_SECONDS if is_first else TOKEN_STALL_SECONDS
            if now - progress_at > limit:
                raise AttemptFailed(AttemptFailure.TIMED_OUT, "the stream stalled")
            if await self._is_moved(endpoint, request, now - started_at):
                return

    def _finish(self, endpoint: Endpoint) -> None:
        self._node.endpoints.record_success(endpoint.host)
        self._node.chooser.record_success(endpoint.host, self._node.now())
        if not self._stream.assembler.is_complete:
            raise AttemptFailed(AttemptFailure.CONNECTION_LOST, "no finish reason")

    async def _is_moved(
        self, endpoint: Endpoint, request: EngineRequest, elapsed: float
    ) -> bool:
        """Move the stream if its endpoint is leaving and it cannot finish there."""
        node = self._node
        current = node.endpoints.get(endpoint.host)
        if current is None or not current.is_reclaimed:
            return False
        assembler = self._stream.assembler
        produced = assembler.position - request.position
        running = RunningStream(
            context_tokens=self._stream.prompt_tokens + assembler.position,
            remaining_tokens=self._request.max_tokens - assembler.position,
            seconds_per_token=elapsed / produced if produced else ASSUMED_TOKEN_SECONDS,
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
        target = self._pick()
        if target is None:
            return
        moved = await node.engines.move_kv(source.url, target.url, request.request_id)
        if isinstance(moved, Err):
            node.counters.increment("streams.kv_move_failed")
            return
        node.counters.increment("streams.kv_moved")
        self._kv_target, self._kv_handle = target, moved.ok_value.handle

    async def _after_failure(
        self, endpoint: Endpoint, error: AttemptFailed
    ) -> Problem | None:
        """Return the problem to end with, or None to try again elsewhere."""
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
            delay = note_loss(node, endpoint, self._digest)
        self._retries += 1
        if self._retries <= MAX_RETRIES and node.try_spend_retry(self._deployment):
            await asyncio.sleep(delay)
            return None
        return self._problem(503, "retries-exhausted", f"The attempt failed: {error}.")

    def _problem(self, status: int, kind: str, detail: str) -> Problem:
        """Describe why the answer is not complete; nothing sent means not run."""
        return Problem(
            status=status,
            kind=kind,
            title="The request was not answered",
            detail=detail,
            outcome=Outcome.FAILED if self._attempts_sent else Outcome.NOT_RUN,
            retry_after_seconds=self._node.retry_after_seconds(1.0),
        )
