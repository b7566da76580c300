"""Finds the suspects that explain crashes, by how many of them each explains.

A suspect that ran at more crashes than any other explains these, and they no longer
count against the suspects that ran beside it. The result depends on the evidence only,
not on its order.

    >>> find_causes({"d": {"1", "2", "3"}, "s": {"2", "3"}}, len)
    {'d': Explanation(crash_count=3, has_rival=False)}
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Set as AbstractSet

__all__ = ["MIN_CRASHES", "Explanation", "find_causes"]

# One crash may have happened to any request.
MIN_CRASHES = 2

Suspect = TypeVar("Suspect", bytes, str)


@dataclass(frozen=True)
class Explanation:
    """How many crashes a suspect explains, and whether another explains as many.

    A rival ran at some of the same crashes, and either may be their cause.
    """

    crash_count: int
    has_rival: bool


def find_causes(
    crashes_by_suspect: Mapping[Suspect, AbstractSet[str]],
    count: Callable[[AbstractSet[str]], int],
) -> dict[Suspect, Explanation]:
    """Return the suspects that explain several crashes.

    ``count`` returns how many independent crashes a set of them stands for.
    """
    unexplained = dict(crashes_by_suspect)
    causes: dict[Suspect, Explanation] = {}
    while True:
        counts = {suspect: count(crashes) for suspect, crashes in unexplained.items()}
        highest = max(counts.values(), default=0)
        if highest < MIN_CRASHES:
            return causes
        leaders = [suspect for suspect in counts if counts[suspect] == highest]
        runs_by_crash: dict[str, int] = {}
        for suspect in leaders:
            for crash in unexplained[suspect]:
                runs_by_crash[crash] = runs_by_crash.get(crash, 0) + 1
        for suspect in leaders:
            crashes = unexplained.pop(suspect)
            has_rival = any(runs_by_crash[crash] > 1 for crash in crashes)
            causes[suspect] = Explanation(highest, has_rival)
        explained = runs_by_crash.keys()
        unexplained = {
            suspect: left
            for suspect, crashes in unexplained.items()
            if len(left := crashes - explained) >= MIN_CRASHES
        }
