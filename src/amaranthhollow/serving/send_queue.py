"""What the kernel still has to send, or to have acknowledged, of a connection."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["unacknowledged_bytes"]

COUNT = struct.Struct("i")


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel holds until the peer has acknowledged them.

    It is 0 where the kernel does not tell, such as on a closed socket.
    """
    connected = transport.get_extra_info("socket")
    if connected is None:
        return 0
    try:
        answer = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
    except (OSError, ValueError):
        return 0
    return COUNT.unpack(answer)[0]
