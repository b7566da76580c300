"""What matters of a prompt for the choice of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PromptPart", "PromptShape", "shape_from_text"]

# Of a prompt that comes as text: a token of English has about four characters, and
# what follows this many of them is taken for the request's own.
CHARACTERS_PER_TOKEN = 4
MAX_PREFIX_CHARACTERS = 2048


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, by its identifier."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """The parts that a prompt shares with others, in order, and the rest of it.

    An engine that holds a part need not read it again, if it holds those before it.
    """

    shared: tuple[PromptPart, ...]
    unshared_tokens: int

    @classmethod
    def from_parts(cls, parts: tuple[PromptPart, ...]) -> PromptShape | None:
        """Return the shape of a prompt whose last part is its own, None without any."""
        if not parts:
            return None
        *shared, own = parts
        return cls(tuple(shared), own.tokens)


def shape_from_text(deployment: str, prompt: str) -> PromptShape:
    """Return the shape of a prompt whose shared parts are not declared.

    The length of the prefix is a power of two, so that the key of a conversation
    changes seldom as it grows, and prompts that share a short opening still differ.
    """
    length = min(len(prompt), MAX_PREFIX_CHARACTERS)
    length = 1 << max(0, length.bit_length() - 1)
    part = PromptPart(
        f"{deployment}\0{prompt[:length]}", length // CHARACTERS_PER_TOKEN
    )
    unshared_tokens = 1 + max(0, len(prompt) - length) // CHARACTERS_PER_TOKEN
    return PromptShape((part,), unshared_tokens)
