"""Items, leases and changes of the platform's store, and decoders of its responses."""

from __future__ import annotations

from base64 import b64decode
from binascii import Error as Base64Error
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decoding import MAX_ERA, Amount, Number, decode_json
from amaranthhollow.platform.names import STORE_ERA
from amaranthhollow.serving.http_client import CallError, CallFailure
from amaranthhollow.serving.messages import find_header

if TYPE_CHECKING:
    from amaranthhollow.serving.messages import Header

__all__ = [
    "Changes",
    "Lease",
    "Snapshot",
    "StoredItem",
    "WireChanges",
    "WireItemAtRevision",
    "WireLease",
    "WirePage",
    "WireRevision",
    "Write",
    "decode_body",
    "decode_changes",
    "decode_era",
    "decode_item",
    "decode_items",
]

MAX_ERA_DIGITS = len(str(MAX_ERA))

Wire = TypeVar("Wire", bound=msgspec.Struct)


@dataclass(frozen=True)
class StoredItem:
    """A value with the positions at which it was last changed and created."""

    key: str
    value: bytes
    position: StorePosition
    created_at: StorePosition


@dataclass(frozen=True)
class Snapshot:
    """Items and the position of the store at which they were read."""

    items: tuple[StoredItem, ...]
    position: StorePosition


@dataclass(frozen=True)
class Changes:
    """Items written after a position, and the position from which to watch next.

    ``deleted_keys`` are the keys of deleted items.
    """

    items: tuple[StoredItem, ...]
    deleted_keys: tuple[str, ...]
    position: StorePosition


@dataclass(frozen=True)
class Write:
    """A value to be written, bound to a lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True)
class Lease:
    """A granted lease; its time to live runs from the arrival of the call.

    The store may grant ``lease_id`` again to another host in a later era.
    """

    lease_id: int
    ttl_seconds: float
    era: int = 0


class WireItem(msgspec.Struct, frozen=True):
    """An item in a response of the store."""

    key: str
    revision: Number
    value: str = ""
    # The revision at which the item was created.
    create_rev: Number = 0
    # Only in the response to a watch.
    deleted: bool = False


class WireItemAtRevision(WireItem, frozen=True):
    """The response to a read of one item; ``as_of`` is the store's revision."""

    as_of: Number = 0


class WirePage(msgspec.Struct, frozen=True):
    """A page of items in the response to a list."""

    items: list[WireItem]
    as_of: Number
    has_more: bool = False


class WireChanges(msgspec.Struct, frozen=True):
    """The response to a watch."""

    events: list[WireItem]
    as_of: Number


class WireRevision(msgspec.Struct, frozen=True):
    """The response to a change."""

    revision: Number


class WireLease(msgspec.Struct, frozen=True):
    """The response to the grant or renewal of a lease."""

    ttl_ms: Amount
    lease: Number = 0


def decode_era(headers: tuple[Header, ...]) -> int | None:
    """Return the era of the store that sent ``headers``, or None if it is unreadable.

    A store that states none is in era 0.
    """
    value = find_header(headers, STORE_ERA)
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS or int(value) > MAX_ERA:
        return None
    return int(value)


def decode_body(body: bytes, model: type[Wire]) -> Result[Wire, CallError]:
    """Decode the body of a response."""
    return decode_json(body, model).map_err(
        lambda error: CallError(CallFailure.UNCERTAIN, error)
    )


def decode_item(wire: WireItem, era: int) -> Result[StoredItem, CallError]:
    """Decode an item that was read in ``era``."""
    try:
        value = b64decode(wire.value, validate=True)
    except (Base64Error, ValueError) as error:
        return Err(CallError(CallFailure.UNCERTAIN, f"{wire.key}: {error}"))
    return Ok(_item(wire, value, era))


def decode_items(wires: list[WireItem], era: int) -> tuple[StoredItem, ...]:
    """Decode the items of a list that was read in ``era``.

    An item that cannot be decoded has an empty value, which the decoder of its content
    rejects as malformed.
    """
    return tuple(
        decode_item(wire, era).unwrap_or(_item(wire, b"", era)) for wire in wires
    )


def decode_changes(wire: WireChanges, era: int) -> Changes:
    """Decode the response to a watch."""
    written = [event for event in wire.events if not event.deleted]
    return Changes(
        decode_items(written, era),
        tuple(event.key for event in wire.events if event.deleted),
        StorePosition(era, wire.as_of),
    )


def _item(wire: WireItem, value: bytes, era: int) -> StoredItem:
    return StoredItem(
        wire.key,
        value,
        StorePosition(era, wire.revision),
        StorePosition(era, wire.create_rev),
    )
