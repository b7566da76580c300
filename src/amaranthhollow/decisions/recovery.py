"""Plans how a stream continues when its endpoint is about to be reclaimed."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LetFinish", "MoveCache", "Recompute", "RunningStream", "plan_migration"]

SAFETY_MARGIN_SECONDS = 0.5
EXPORT_SECONDS_PER_TOKEN = 0.00005
EXPORT_OVERHEAD_SECONDS = 0.05


@dataclass(frozen=True)
class RunningStream:
    """A stream at a leaving endpoint, which emits at ``seconds_per_token``."""

    context_tokens: int
    remaining_tokens: int
    seconds_per_token: float


@dataclass(frozen=True)
class LetFinish:
    """Let the stream end, which it does before the endpoint leaves."""


@dataclass(frozen=True)
class MoveCache:
    """Export the KV cache to another endpoint and resume the stream there."""


@dataclass(frozen=True)
class Recompute:
    """Send prompt and emitted tokens to another endpoint; an export takes too long."""


def plan_migration(
    stream: RunningStream, leaves_at: float, now: float
) -> LetFinish | MoveCache | Recompute:
    """Plan for a stream whose endpoint leaves at ``leaves_at``."""
    remaining_seconds = leaves_at - now - SAFETY_MARGIN_SECONDS
    if stream.remaining_tokens * stream.seconds_per_token < remaining_seconds:
        return LetFinish()
    export_seconds = (
        EXPORT_OVERHEAD_SECONDS + stream.context_tokens * EXPORT_SECONDS_PER_TOKEN
    )
    return MoveCache() if export_seconds < remaining_seconds else Recompute()
