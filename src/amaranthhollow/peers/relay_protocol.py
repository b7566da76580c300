"""Messages between a host without links to endpoints and the peer that relays for it.

The host names the endpoint, and the peer replies with a status. From then on the bytes
of the host are passed on as they are, and those of the endpoint in frames, since the
end of a response must differ from the end of the peer.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct

__all__ = ["END_FRAME", "FrameReader", "RelayStatus", "encode_frame", "encode_target"]

LENGTH = Struct("!I")
END_FRAME = LENGTH.pack(0)
MAX_TARGET_BYTES = 64
# Four times what a transport reads at once.
MAX_FRAME_BYTES = 1 << 20


class RelayStatus(IntEnum):
    """What became of the connection that a peer was asked for."""

    CONNECTED = 0
    ENDPOINT_FAILED = 1
    NO_LINKS = 2


class FrameReader:
    """Splits received bytes into frames.

    ``is_oversized`` is whether the next frame exceeds the size limit; it is not read.
    """

    def __init__(self) -> None:
        """Start between two frames."""
        self._buffer = bytearray()
        self.is_oversized = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are complete by now; an empty one is the end."""
        frames: list[bytes] = []
        if self.is_oversized:
            return frames
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._buffer)
            self.is_oversized = size > MAX_FRAME_BYTES
            if self.is_oversized or len(self._buffer) < LENGTH.size + size:
                break
            frames.append(bytes(self._buffer[LENGTH.size : LENGTH.size + size]))
            del self._buffer[: LENGTH.size + size]
        return frames


def encode_frame(data: bytes) -> bytes:
    """Encode bytes of an endpoint, at least one."""
    return LENGTH.pack(len(data)) + data


def encode_target(address: str, port: int) -> bytes:
    """Encode the address of the endpoint that a host asks for."""
    return encode_frame(f"{address}:{port}".encode())
