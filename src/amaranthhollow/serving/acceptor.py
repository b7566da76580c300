"""Accepts TCP connections without exceeding a number of open ones."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Acceptor"]

BACKLOG = 1024
# Bounds how long other events wait while a crowd connects.
ACCEPTS_PER_TURN = 16
ACCEPT_RETRY_SECONDS = 1.0


class Acceptor:
    """Accepts connections at one address while their number is below a maximum.

    A connection counts from its accept until :meth:`release`, so that sockets that the
    event loop has yet to open or to close count as well. At the maximum, ``make_room``
    may close another connection and return True; accepting then pauses until a socket
    is closed. Otherwise the new connection is closed at once.
    """

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        address: str,
        port: int,
        max_connections: int,
        make_room: Callable[[], bool] = lambda: False,
    ) -> None:
        """Listen at ``address`` once :meth:`start` is called."""
        self.open_count = 0
        self.rejected_count = 0
        self._make_protocol = make_protocol
        self._address = (address, port)
        self._max_connections = max_connections
        self._make_room = make_room
        self._socket: socket.socket | None = None
        self._is_accepting = False
        self._opening: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Bind the address and accept connections."""
        self._socket = socket.create_server(self._address, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._resume()

    def stop(self) -> None:
        """Stop accepting connections; the open ones remain."""
        if self._socket is None:
            return
        self._pause()
        self._socket.close()
        self._socket = None

    def release(self) -> None:
        """Record that the socket of an accepted connection has been closed."""
        self.open_count -= 1
        if self.open_count <= self._max_connections:
            self._resume()

    def _resume(self) -> None:
        if self._socket is not None and not self._is_accepting:
            self._is_accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._is_accepting:
            self._is_accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._retry_later(error)
                return
            if self.open_count >= self._max_connections and not self._make_room():
                self.rejected_count += 1
                connection.close()
                continue
            self._open(connection)
            if self.open_count > self._max_connections:
                self._pause()
                return

    def _open(self, connection: socket.socket) -> None:
        self.open_count += 1
        connection.setblocking(False)
        task = asyncio.create_task(self._open_transport(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open_transport(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError:
            connection.close()
            self.release()

    def _retry_later(self, error: OSError) -> None:
        """Report an error that would recur in each turn, and pause."""
        self._pause()
        loop = asyncio.get_running_loop()
        loop.call_exception_handler(
            {
                "message": "connection not accepted",
                "exception": error,
                "socket": self._socket,
            }
        )
        loop.call_later(ACCEPT_RETRY_SECONDS, self._resume)
