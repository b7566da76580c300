"""Decodes what other processes have written, and states the ranges of its values."""

from __future__ import annotations

from socket import AF_INET, AF_INET6, inet_pton
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = [
    "Amount",
    "Era",
    "MAX_AMOUNT",
    "MAX_ERA",
    "MAX_NUMBER",
    "Label",
    "Milliseconds",
    "Number",
    "decode_json",
    "decode_msgpack",
    "is_host_address",
]

Form = TypeVar("Form")

# Of a name, which may become part of a header, a log line or a message to a peer.
MAX_LABEL_LENGTH = 200
# The end of the year 9999, in milliseconds since the Unix epoch.
MAX_MILLISECONDS = 253_402_300_799_999
# JSON readers with 64-bit floating-point numbers keep these exactly, and the sum over
# all hosts of a site fits in the 64 bits of a MessagePack integer.
MAX_NUMBER = (1 << 53) - 1
# The first byte of the IPv4 address of a host. 0 stands for none, and from 224 on
# follow groups (RFC 1112) and reserved addresses.
IPV4_HOST_ADDRESSES = range(1, 224)
IPV6_GROUP_PREFIX = 0xFF
# Fencing tokens leave this many (decisions.store_position).
MAX_ERA = (1 << 13) - 1
# Far above all times and token counts, with room to multiply them.
MAX_AMOUNT = 1e15

Label = Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
Amount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""A finite number, positive or negative."""


def decode_json(data: bytes, form: type[Form]) -> Result[Form, str]:
    """Return the value of a JSON document, or why it has none; raise nothing."""
    return _decode(msgspec.json.decode, data, form)


def decode_msgpack(data: bytes, form: type[Form]) -> Result[Form, str]:
    """Return the value of a MessagePack document, or why it has none; raise nothing."""
    return _decode(msgspec.msgpack.decode, data, form)


def is_host_address(address: str, *, is_ipv4: bool = False) -> bool:
    """Return whether a text is the IP address of a single host.

    With ``is_ipv4``, only one of version 4.
    """
    try:
        return inet_pton(AF_INET, address)[0] in IPV4_HOST_ADDRESSES
    except (OSError, ValueError):
        return not is_ipv4 and _is_ipv6_host_address(address)


def _is_ipv6_host_address(address: str) -> bool:
    try:
        packed = inet_pton(AF_INET6, address)
    except (OSError, ValueError):
        return False
    return any(packed) and packed[0] != IPV6_GROUP_PREFIX


def _decode(decode: object, data: bytes, form: type[Form]) -> Result[Form, str]:
    try:
        return Ok(decode(data, type=form))
    except (msgspec.DecodeError, ValueError, OverflowError, RecursionError) as error:
        return Err(f"{type(error).__name__}: {error}")
