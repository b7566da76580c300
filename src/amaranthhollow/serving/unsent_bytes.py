"""Tells whether the other side of a connection has received all that was sent."""

from __future__ import annotations

import struct
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import Transport

__all__ = ["has_unsent_bytes"]

INT = struct.Struct("i")


def has_unsent_bytes(transport: Transport) -> bool:
    """Return whether bytes wait to be sent or acknowledged.

    These are in the buffer of the transport, or in that of the system (SIOCOUTQ of
    Linux tcp(7)).
    """
    if transport.get_write_buffer_size():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    try:
        (count,) = INT.unpack(ioctl(sock.fileno(), TIOCOUTQ, bytes(INT.size)))
    except OSError:
        return False
    return count > 0
