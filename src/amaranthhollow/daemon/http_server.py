"""Runs an ASGI application on uvicorn in the daemon's event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    import falcon.asgi

__all__ = ["HttpServer"]

START_POLL_SECONDS = 0.01
BACKLOG = 1024


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    def __init__(self, app: falcon.asgi.App, address: str, port: int) -> None:
        """Configure a server for ``app``; :meth:`start` opens the port."""
        config = uvicorn.Config(
            app,
            host=address,
            port=port,
            log_config=None,
            access_log=False,
            lifespan="off",
            backlog=BACKLOG,
            server_header=False,
        )
        super().__init__(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening; raises OSError if the address cannot be bound."""
        self._task = asyncio.create_task(self._run())
        while not self.started:
            if self._task.done():
                self._task.result()
                raise OSError(f"cannot listen on {self.config.host}")
            await asyncio.sleep(START_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop listening and wait until every open request is complete."""
        self.should_exit = True
        if self._task is not None:
            await self._task

    async def _run(self) -> None:
        try:
            await self._serve()
        except SystemExit as error:
            raise OSError(
                f"cannot listen on {self.config.host}:{self.config.port}"
            ) from error
