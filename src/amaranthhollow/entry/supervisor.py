"""Runs the background tasks of a daemon, and starts those that fail again."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from traceback import extract_tb
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from amaranthhollow.entry.metrics import Metrics

__all__ = ["Supervisor", "TaskRestarts"]

FIRST_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 5.0
# A task that ran for this long had not failed at its start.
SETTLED_SECONDS = 10.0

log = logbook.Logger("daemon")


@dataclass(frozen=True)
class TaskRestarts:
    """The failures of a task in a row, each soon after its start.

    Example::

        restarts = TaskRestarts().failed(ran_seconds=0.0)
        restarts.delay_seconds(jitter=0.5)  # 0.1
        restarts.failed(ran_seconds=0.0).delay_seconds(jitter=0.5)  # 0.2
    """

    failures: int = 0

    def failed(self, ran_seconds: float) -> TaskRestarts:
        """Return the state after a failure of the task, which ran so long before."""
        earlier = 0 if ran_seconds >= SETTLED_SECONDS else self.failures
        return TaskRestarts(earlier + 1)

    def delay_seconds(self, jitter: float) -> float:
        """Return how long to wait; ``jitter`` from 0 to 1 halves it or adds half."""
        doublings = min(self.failures - 1, 16)
        delay = min(FIRST_DELAY_SECONDS * 2**doublings, MAX_DELAY_SECONDS)
        return delay * (0.5 + jitter)


class Supervisor:
    """Keeps background tasks running until they are cancelled.

    Example::

        supervisor = Supervisor(metrics, random.random)
        supervisor.start("link probe", LinkProbe(host).run)
    """

    def __init__(self, metrics: Metrics, random: Callable[[], float]) -> None:
        """Start without tasks; ``random`` returns a number from 0 to 1."""
        self._metrics = metrics
        self._random = random
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task, which calls ``run`` again whenever that ends."""
        self._tasks.append(asyncio.create_task(self._supervise(name, run)))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        is_running = self._metrics.background_tasks.values
        restarts = TaskRestarts()
        while True:
            started_at = now()
            is_running[name] = 1.0
            error: Exception | None = None
            try:
                await run()
            except Exception as raised:
                error = raised
            is_running[name] = 0.0
            restarts = restarts.failed(now() - started_at)
            delay = restarts.delay_seconds(self._random())
            self._metrics.task_failures.increment(name)
            log.error(
                "background task failed",
                extra={
                    "task": name,
                    "error": repr(error),
                    "where": _origin(error),
                    "failures": restarts.failures,
                    "restarts_in": round(delay, 2),
                },
            )
            await asyncio.sleep(delay)


def _origin(error: Exception | None) -> str:
    """Return the file and line that raised an exception."""
    frames = extract_tb(error.__traceback__) if error is not None else []
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
