"""Decides what becomes of a stream whose endpoint is leaving."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LetFinish", "MoveCache", "Recompute", "RunningStream", "plan_migration"]

SAFETY_SECONDS = 0.5
EXPORT_SECONDS_PER_TOKEN = 0.00005
EXPORT_OVERHEAD_SECONDS = 0.05


@dataclass(frozen=True)
class RunningStream:
    """A stream at a leaving endpoint; ``seconds_per_token`` is its pace."""

    context_tokens: int
    tokens_left: int
    seconds_per_token: float


@dataclass(frozen=True)
class LetFinish:
    """The stream ends before the endpoint leaves."""


@dataclass(frozen=True)
class MoveCache:
    """Export the KV cache to another endpoint and go on there."""


@dataclass(frozen=True)
class Recompute:
    """Send prompt and emitted tokens to another endpoint: no time to export."""


def plan_migration(
    stream: RunningStream, leaves_at: float, now: float
) -> LetFinish | MoveCache | Recompute:
    """Plan for one stream, given the instant at which its endpoint leaves."""
    time_left = leaves_at - now - SAFETY_SECONDS
    if stream.tokens_left * stream.seconds_per_token < time_left:
        return LetFinish()
    export_seconds = (
        EXPORT_OVERHEAD_SECONDS + stream.context_tokens * EXPORT_SECONDS_PER_TOKEN
    )
    return MoveCache() if export_seconds < time_left else Recompute()
