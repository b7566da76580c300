"""A program with many connections that ends when the first of them is answered.

Each connection has sent a body that stops one byte short of its end. When the program
ends, all of them close.
"""

from __future__ import annotations

import os
import select
import socket
import sys

from load import crowd_request

MAX_WAIT_SECONDS = 18.0


def main(address: str, port: int, count: int) -> None:
    """Connect, wait for the first answer, and end without reading the others."""
    poll = select.epoll()
    sockets = []
    for number in range(count):
        sock = socket.create_connection((address, port), timeout=5)
        sock.sendall(crowd_request(number))
        poll.register(sock, select.EPOLLIN)
        sockets.append(sock)
    print("sent", flush=True)
    poll.poll(MAX_WAIT_SECONDS)
    os._exit(0)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
