"""Bounds what all hosts together send to a software version that is being tested.

The bound is a share of all requests to the service, and a slack. It is divided
beforehand, so that no message is needed to keep it: each host spends the share of the
requests that it sends itself, and the whole units of the slack that it owns by
rendezvous hash over all known hosts. A process that has started after the order owns
none, since it cannot know what its predecessor has spent.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import floor
from typing import TYPE_CHECKING

from amaranthhollow.decisions.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["RolloutAllowance", "owned_units"]

# The rest covers requests that a host counts and an operator does not, such as those
# that their callers gave up before they reached an engine.
USED_SHARE = 0.9
# The rest covers hosts that differ on which of them exist.
USED_SLACK = 0.8


def owned_units(key: str, slack: float, host: str, hosts: Collection[str]) -> int:
    """Return how many requests of the slack belong to ``host`` among ``hosts``."""
    count = floor(slack * USED_SLACK)
    return sum(owner(f"{key}/{unit}", hosts) == host for unit in range(count))


@dataclass(frozen=True)
class RolloutAllowance:
    """What one process may send to the new version of one service.

    Example: a host that has sent 30 requests, and owns one unit of the slack, may have
    sent three of them to the new version::

        RolloutAllowance(0.1, units=1, requests=30, exposed=2).has_room
    """

    share: float
    units: int = 0
    requests: int = 0
    exposed: int = 0

    @property
    def has_room(self) -> bool:
        """Whether one more request may be sent to the new version.

        That request itself does not count until it is sent.
        """
        return self.exposed + 1 <= self.units + USED_SHARE * self.share * self.requests

    def sent(self, *, is_exposed: bool, is_first: bool = True) -> RolloutAllowance:
        """Return the allowance after an attempt, the first one of a request or not.

        Repeated sends are exposed as others are, but are no further requests.
        """
        return replace(
            self,
            requests=self.requests + is_first,
            exposed=self.exposed + is_exposed,
        )
