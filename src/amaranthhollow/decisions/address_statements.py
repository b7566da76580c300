"""What endpoints last stated, by the address at which a host heard it.

An endpoint that has just started may state something before the list names it, and
its entry may be missing for a time. What was heard at an address holds for an endpoint
there that had started by then, whatever it is called.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AddressStatements"]

# An endpoint that still states something does so in each response.
RETENTION_SECONDS = 600.0


@dataclass(frozen=True)
class _Statement:
    """A number that was stated at ``heard_at``, in Unix seconds."""

    number: float
    heard_at: float


class AddressStatements:
    """The newest statement of one kind at each address, as heard by one host.

    Example::

        statements = AddressStatements()
        statements.hear("10.0.0.1:80", 2.0, heard_at=1700000000.0)
        statements.find("10.0.0.1:80", incarnation=1699999999000)  # 2.0
    """

    def __init__(self) -> None:
        """Start without statements."""
        self._by_address: dict[str, _Statement] = {}

    @property
    def has_any(self) -> bool:
        """Whether any statement is known."""
        return bool(self._by_address)

    def hear(self, address: str, number: float | None, heard_at: float) -> None:
        """Record a statement, or with None that there is none any more."""
        if number is None:
            self._by_address.pop(address, None)
        else:
            self._by_address[address] = _Statement(number, heard_at)

    def find(self, address: str, incarnation: int) -> float | None:
        """Return what an endpoint that started at a Unix time in ms has stated."""
        statement = self._by_address.get(address)
        if statement is None or not 0 < incarnation <= statement.heard_at * 1000:
            return None
        return statement.number

    def expire(self, wall_time: float) -> None:
        """Drop what was not heard again for long."""
        for address, statement in list(self._by_address.items()):
            if statement.heard_at + RETENTION_SECONDS <= wall_time:
                del self._by_address[address]
