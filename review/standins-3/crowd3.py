"""A program with many connections that stops short of the end of each request.

    python crowd3.py ADDRESS PORT COUNT HOW

Each connection sends the head of a POST and a chunked body without its last chunk,
and stays open. HOW is ``stays``, which reads until the other side closes, or ``ends``,
which ends the program with the first answer that it gets.
"""

from __future__ import annotations

import os
import select
import socket
import sys

HEAD = (
    "POST /plain/ HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: crowd-{number}\r\n"
    "X-Deadline-Ms: 30000\r\nAuthorization: Bearer {key}\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"10\r\n" + b"a" * 16 + b"\r\n"
CHUNKS = 16


def main() -> None:
    """Open the connections, and hold them."""
    address, port, count, how, key = sys.argv[1:6]
    opened: dict[int, socket.socket] = {}
    poll = select.epoll()
    for number in range(int(count)):
        connection = socket.create_connection((address, int(port)))
        name = f"{os.getpid()}-{number}"
        connection.sendall(HEAD.format(number=name, key=key).encode() + CHUNK * CHUNKS)
        opened[connection.fileno()] = connection
        poll.register(connection.fileno(), select.EPOLLIN)
    print("open", flush=True)
    while opened:
        for descriptor, _ in poll.poll():
            if how == "ends":
                os._exit(0)
            if not _is_open(opened[descriptor]):
                poll.unregister(descriptor)
                opened.pop(descriptor).close()


def _is_open(connection: socket.socket) -> bool:
    try:
        return bool(connection.recv(4096))
    except OSError:
        return False


if __name__ == "__main__":
    main()
