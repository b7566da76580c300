"""Decodes the operators' orders of roll-outs, and encodes the status of each."""

from __future__ import annotations

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.rollouts import RolloutOrder
from amaranthhollow.decoding import Label, decode_json

__all__ = [
    "ORDER_PREFIX",
    "STATUS_PREFIX",
    "decode_order",
    "encode_status",
]

# The operators write the first; this system writes below the second.
ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
MAX_DURATION_SECONDS = 86_400.0

Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_SECONDS)]


class WireOrder(msgspec.Struct, frozen=True):
    """An order to move the traffic of a service to another software version."""

    service: Label = msgspec.field(name="backend")
    target: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    duration_s: Seconds


class WireStatus(msgspec.Struct, frozen=True):
    """The state of a roll-out, as the operators read it."""

    state: str
    target: str


def decode_order(key: str, value: bytes, token: int) -> Result[RolloutOrder, str]:
    """Return the order that was written at the position with fencing token ``token``.

    Returns the reason if it cannot be used.
    """
    return decode_json(value, WireOrder).and_then(
        lambda wire: _order(key.removeprefix(ORDER_PREFIX), wire, token)
    )


def _order(service: str, wire: WireOrder, token: int) -> Result[RolloutOrder, str]:
    if wire.service != service:
        return Err("`backend` is not the service that the key names")
    return Ok(RolloutOrder(wire.service, wire.target, wire.duration_s, token))


def encode_status(state: str, target: str) -> bytes:
    """Encode the status of a roll-out."""
    return msgspec.json.encode(WireStatus(state, target))
