"""Chooses the engines of a new software version that its test uses."""

from __future__ import annotations

from itertools import islice
from math import ceil
from typing import TYPE_CHECKING

from amaranthhollow.decisions.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["canary_engines"]

# The verdict leaves out the worst engine once three have answered.
MIN_CANARIES = 3


def canary_engines(
    version: str, engine_ids: Collection[str], share: float
) -> frozenset[str]:
    """Return the engines that get the ``share`` of the requests that a test may use.

    They get about as many requests each as the engines of the old version, so that a
    version that fails under load shows it in the test. All hosts choose the same ones.

    >>> len(canary_engines("v2", [f"e{n}" for n in range(45)], 0.1))
    5
    """
    count = max(MIN_CANARIES, ceil(share * len(engine_ids)))
    return frozenset(islice(ranked(version, engine_ids), count))
