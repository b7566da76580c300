"""Describes the parts of a prompt that matter for the choice of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PromptPart", "PromptShape", "shape_from_text"]

# Average for English text.
CHARACTERS_PER_TOKEN = 4
# Text after this many characters of a prompt is assumed not to be shared.
MAX_PREFIX_CHARACTERS = 2048


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share, identified by ``part_id``."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """The shared parts of a prompt in order, and the number of tokens after them.

    An engine skips a part that is in its cache if it has also cached all parts before.
    """

    shared: tuple[PromptPart, ...]
    unshared_tokens: int

    @classmethod
    def from_parts(cls, parts: tuple[PromptPart, ...]) -> PromptShape | None:
        """Return the shape of a prompt whose last part is unshared, or None."""
        if not parts:
            return None
        *shared, own = parts
        return cls(tuple(shared), own.tokens)


def shape_from_text(deployment: str, prompt: str) -> PromptShape:
    """Return the shape of a prompt whose shared parts are not declared.

    The prefix of the text is taken as the shared part. Its length is a power of two,
    so that the identifier rarely changes as a conversation grows, while prompts that
    only share a short opening still get different ones.
    """
    length = min(len(prompt), MAX_PREFIX_CHARACTERS)
    length = 1 << max(0, length.bit_length() - 1)
    part = PromptPart(
        f"{deployment}\0{prompt[:length]}", length // CHARACTERS_PER_TOKEN
    )
    unshared_tokens = 1 + max(0, len(prompt) - length) // CHARACTERS_PER_TOKEN
    return PromptShape((part,), unshared_tokens)
