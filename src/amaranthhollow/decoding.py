"""Decodes what other processes have written, and states the ranges of its values."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = [
    "Amount",
    "Label",
    "Milliseconds",
    "Number",
    "decode_json",
    "decode_msgpack",
]

Form = TypeVar("Form")

# Of a name, which may become part of a header, a log line or a message to a peer.
MAX_LABEL_LENGTH = 200
# The end of the year 9999, in milliseconds since the Unix epoch.
MAX_MILLISECONDS = 253_402_300_799_999
# Sums of a few such numbers fit in the 64 bits of a MessagePack integer.
MAX_NUMBER = (1 << 62) - 1
# Far above all times and token counts, with room to multiply them.
MAX_AMOUNT = 1e15

Label = Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
"""A finite number, positive or negative."""


def decode_json(data: bytes, form: type[Form]) -> Result[Form, str]:
    """Return the value of a JSON document, or why it has none; raise nothing."""
    return _decode(msgspec.json.decode, data, form)


def decode_msgpack(data: bytes, form: type[Form]) -> Result[Form, str]:
    """Return the value of a MessagePack document, or why it has none; raise nothing."""
    return _decode(msgspec.msgpack.decode, data, form)


def _decode(decode: object, data: bytes, form: type[Form]) -> Result[Form, str]:
    try:
        return Ok(decode(data, type=form))
    except (msgspec.DecodeError, ValueError, OverflowError, RecursionError) as error:
        return Err(f"{type(error).__name__}: {error}")
