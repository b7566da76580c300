"""Reads and validates the requests of callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from hashlib import sha256
from typing import TYPE_CHECKING, Any

import msgspec

from amaranthhollow.decisions.retries import Outcome
from amaranthhollow.gateway.problems import Problem, ProblemError, invalid_request

if TYPE_CHECKING:
    import falcon.asgi

    from amaranthhollow.configuration.model import Configuration, RequestBounds
    from amaranthhollow.decisions.configuration import AppliedConfiguration

__all__ = [
    "ModelRequest",
    "configuration_in_force",
    "idempotency_key",
    "parse_model_request",
    "read_body",
    "request_deadline",
    "workspace_of",
]

DEADLINE_HEADER = "X-Request-Deadline"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255
DEFAULT_MAX_TOKENS = 256
# A daemon reads the configuration within a second of its start.
NO_CONFIGURATION_RETRY_SECONDS = 1
SAMPLING_FIELDS = (
    "temperature",
    "top_p",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "user",
    "priority",
)


@dataclass(frozen=True)
class ModelRequest:
    """A validated request for a text completion or a chat completion."""

    model: str
    prompt: str | tuple[dict[str, Any], ...]
    max_tokens: int
    is_streamed: bool
    includes_usage: bool
    sampling: dict[str, Any] = field(default_factory=dict)

    @property
    def is_chat(self) -> bool:
        """Whether the prompt is a list of messages."""
        return not isinstance(self.prompt, str)

    @property
    def prompt_text(self) -> str:
        """The prompt as one text, for prefix-based routing."""
        if isinstance(self.prompt, str):
            return self.prompt
        return "\n".join(f"{m['role']}: {m['content']}" for m in self.prompt)


def configuration_in_force(applied: AppliedConfiguration) -> Configuration:
    """Return the configuration in force; reject the request if there is none.

    Without a configuration, an API key or a name can't be rejected as unknown.
    """
    if applied.revision:
        return applied.configuration
    raise ProblemError(
        Problem(
            status=503,
            kind="no-configuration",
            title="No configuration is in force yet",
            detail="This host has just started; other hosts may serve the request.",
            outcome=Outcome.NOT_RUN,
            retry_after_seconds=NO_CONFIGURATION_RETRY_SECONDS,
        )
    )


def workspace_of(request: falcon.asgi.Request, configuration: Configuration) -> str:
    """Return the workspace whose API key is in the Authorization header."""
    scheme, _, key = (request.auth or "").partition(" ")
    digest = sha256(key.strip().encode()).hexdigest()
    if scheme.lower() == "bearer":
        for name, workspace in configuration.workspaces.items():
            if workspace.key_sha256 == digest:
                return name
    raise ProblemError(
        Problem(
            status=401,
            kind="unknown-key",
            title="The API key is not known",
            detail="The Authorization header must be 'Bearer' and a known API key.",
            outcome=Outcome.NOT_RUN,
            field="Authorization",
        )
    )


async def read_body(request: falcon.asgi.Request, bounds: RequestBounds) -> bytes:
    """Read the body; reject one that is longer than the bound."""
    limit = bounds.max_body_bytes
    if (request.content_length or 0) > limit:
        raise _body_too_large(limit)
    parts: list[bytes] = []
    size = 0
    async for part in request.stream:
        size += len(part)
        if size > limit:
            raise _body_too_large(limit)
        parts.append(part)
    return b"".join(parts)


def request_deadline(
    request: falcon.asgi.Request, bounds: RequestBounds, now: float
) -> float:
    """Return the request's deadline in seconds since the Unix epoch.

    The header may have seconds since the Unix epoch or an RFC 3339 instant.
    """
    text = request.get_header(DEADLINE_HEADER)
    if text is None:
        return now + bounds.default_timeout_seconds
    deadline = _parse_instant(text)
    if deadline is None:
        detail = f"{DEADLINE_HEADER} must be epoch seconds or an RFC 3339 instant."
        raise invalid_request(DEADLINE_HEADER, detail)
    if deadline <= now:
        detail = f"The deadline in {DEADLINE_HEADER} has passed."
        raise invalid_request(DEADLINE_HEADER, detail, status=408)
    return min(deadline, now + bounds.max_timeout_seconds)


def idempotency_key(request: falcon.asgi.Request) -> str | None:
    """Return the idempotency key of the request, or None."""
    key = request.get_header(IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if not key.strip() or len(key) > MAX_KEY_CHARACTERS:
        detail = f"{IDEMPOTENCY_HEADER} must have 1 to {MAX_KEY_CHARACTERS} characters."
        raise invalid_request(IDEMPOTENCY_HEADER, detail)
    return key.strip()


def parse_model_request(
    body: bytes, bounds: RequestBounds, *, is_chat: bool
) -> ModelRequest:
    """Parse and validate the JSON body of a model request."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise invalid_request("(body)", f"The body must be JSON: {error}.") from error
    if not isinstance(document, dict):
        raise invalid_request("(body)", "The body must be a JSON object.")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise invalid_request("model", "The field 'model' must name a model.")
    if document.get("n", 1) != 1:
        raise invalid_request("n", "The field 'n' must be 1.")
    options = document.get("stream_options") or {}
    if not isinstance(options, dict):
        raise invalid_request(
            "stream_options", "The field 'stream_options' must be an object."
        )
    return ModelRequest(
        model=model,
        prompt=_messages(document) if is_chat else _prompt(document),
        max_tokens=_max_tokens(document, bounds),
        is_streamed=_boolean(document, "stream"),
        includes_usage=bool(options.get("include_usage")),
        sampling={name: document[name] for name in SAMPLING_FIELDS if name in document},
    )


def _prompt(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise invalid_request(
            "prompt", "The field 'prompt' must be a text that is not empty."
        )
    return prompt


def _messages(document: dict[str, Any]) -> tuple[dict[str, Any], ...]:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise invalid_request(
            "messages", "The field 'messages' must be a list of messages."
        )
    for index, message in enumerate(messages):
        is_object = isinstance(message, dict)
        if not is_object or not isinstance(message.get("role"), str):
            name = f"messages[{index}].role"
            raise invalid_request(name, f"The field '{name}' must be a text.")
        if not isinstance(message.get("content"), str):
            name = f"messages[{index}].content"
            raise invalid_request(name, f"The field '{name}' must be a text.")
    return tuple(messages)


def _max_tokens(document: dict[str, Any], bounds: RequestBounds) -> int:
    name = "max_completion_tokens"
    if name not in document:
        name = "max_tokens"
    value = document.get(name)
    if value is None:
        return min(DEFAULT_MAX_TOKENS, bounds.max_tokens)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= bounds.max_tokens:
        detail = f"The field '{name}' must be a whole number, 1 to {bounds.max_tokens}."
        raise invalid_request(name, detail)
    return value


def _boolean(document: dict[str, Any], name: str) -> bool:
    value = document.get(name)
    if value is not None and not isinstance(value, bool):
        raise invalid_request(name, f"The field '{name}' must be true or false.")
    return bool(value)


def _parse_instant(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        pass
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        return None
    return instant.timestamp() if instant.tzinfo is not None else None


def _body_too_large(limit: int) -> ProblemError:
    return invalid_request(
        "(body)", f"The body must be at most {limit} bytes.", status=413
    )
