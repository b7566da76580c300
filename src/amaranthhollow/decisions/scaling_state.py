"""What a holder of the duties knows of a service's demand, for the next holder.

The holder publishes it as a fact, and stores it for the case that all hosts are lost.
All times are in seconds since the Unix epoch, as the hosts agree on them.
"""

from __future__ import annotations

import msgspec

from amaranthhollow.decisions.gossip import MAX_VALUE_BYTES, Fact, Version
from amaranthhollow.decoding import Amount, Label, Number

__all__ = ["SCALING_FACT", "OrderRecord", "ScalingState", "scaling_fact"]

SCALING_FACT = "scaling"
# A smaller change of the demand is no reason to send it to all hosts.
PUBLISHED_CHANGE_RATIO = 0.25


class OrderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The last order for one kind of engines in a data centre, and its outcome.

    Of an order that was refused ``accepted_at`` is 0, else ``refused_at``.
    """

    data_centre: Label
    is_reclaimable: bool
    count: Number
    accepted_at: Amount = 0.0
    refused_at: Amount = 0.0


class ScalingState(msgspec.Struct, frozen=True, array_like=True):
    """How many engines of a service were busy at ``observed_at``, and its orders.

    Example::

        ScalingState(6.2, 1_700_000_000.0, (OrderRecord("dc-1", True, 5, 1.7e9),))
    """

    busy: Amount
    observed_at: Amount
    orders: tuple[OrderRecord, ...] = ()

    def differs_from(self, published: ScalingState | None) -> bool:
        """Return whether the next holder needs this state in place of ``published``."""
        if published is None or self.orders != published.orders:
            return True
        change = abs(self.busy - published.busy)
        return change > PUBLISHED_CHANGE_RATIO * max(self.busy, published.busy)


def scaling_fact(
    service: str, state: ScalingState, fencing_token: int, sequence: int
) -> Fact | None:
    """Return the fact that one holder publishes, or None if it is too large."""
    value = msgspec.msgpack.encode(state)
    if len(value) > MAX_VALUE_BYTES:
        return None
    return Fact(SCALING_FACT, service, Version(fencing_token, sequence), value)
