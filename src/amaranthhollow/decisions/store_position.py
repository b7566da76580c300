"""Positions in the history of a store that may return from an older copy."""

from __future__ import annotations

import msgspec

__all__ = ["StorePosition"]

# Leaves 2 ** 13 eras of 2 ** 40 revisions in the whole numbers that a JSON reader with
# 64-bit floating-point numbers keeps exactly.
REVISION_BITS = 40


class StorePosition(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A revision of the store within an era.

    The store counts revisions from an earlier one again after it has returned from an
    older copy, so revisions are comparable only within an era::

        StorePosition(1, 17) > StorePosition(0, 20)

    A store without eras is in era 0.
    """

    era: int = 0
    revision: int = 0

    @property
    def fencing_token(self) -> int:
        """A number that increases with the position; the revision in era 0."""
        return (self.era << REVISION_BITS) + self.revision

    @classmethod
    def from_fencing_token(cls, token: int) -> StorePosition:
        """Return the position that has the fencing token ``token``."""
        return cls(token >> REVISION_BITS, token & ((1 << REVISION_BITS) - 1))
