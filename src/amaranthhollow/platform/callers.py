"""Decodes the requests of the platform's callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.prompts import PromptPart
from amaranthhollow.platform import names
from amaranthhollow.serving.messages import find_header, without_connection_headers
from amaranthhollow.serving.request import CallerRequest

if TYPE_CHECKING:
    from amaranthhollow.serving.exchange import Exchange

__all__ = ["decode_request"]

# Headers that only this system sets on requests to endpoints, and the API key.
NOT_FORWARDED = frozenset(
    {
        names.AUTHORIZATION,
        names.DEADLINE,
        names.EXPECTED_INSTANCE,
        names.EXPECTED_VERSION,
        names.WORKSPACE,
        names.PRIORITY,
        names.PIN,
        names.HOLD,
        names.CACHE_BACKUP,
        names.CACHE_SOURCE,
        names.CACHE_FETCH,
        names.DUTY_HOLDER,
        names.FENCING_TOKEN,
        names.LAST_EVENT_ID,
    }
)
BEARER_PREFIX = "bearer "
MAX_DEADLINE_MILLISECONDS = 86_400_000


def decode_request(exchange: Exchange) -> CallerRequest | None:
    """Return the decoded request, or None without a request identifier or host."""
    headers = exchange.head.headers
    request_id = find_header(headers, names.REQUEST_ID)
    hostname = find_header(headers, names.HOST)
    if not request_id or not hostname:
        return None
    prompt_tokens, output_tokens = _token_counts(headers)
    milliseconds = _parse_number(find_header(headers, names.DEADLINE))
    forwarded = tuple(
        header
        for header in without_connection_headers(headers)
        if header[0] not in NOT_FORWARDED
    )
    last_event_id = find_header(headers, names.LAST_EVENT_ID)
    resumed_id = find_header(headers, names.RESUMED_REQUEST)
    return CallerRequest(
        request_id=request_id.decode("latin-1"),
        hostname=_decode_text(hostname).partition(":")[0].lower(),
        head=exchange.head,
        forwarded_headers=forwarded,
        body=exchange.body,
        arrived_at=exchange.arrived_at,
        deadline=_deadline(exchange.arrived_at, milliseconds),
        api_key=_api_key(find_header(headers, names.AUTHORIZATION)),
        prompt=_prompt_parts(find_header(headers, names.PROMPT_PREFIX)),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        last_event_id=None if last_event_id is None else _decode_text(last_event_id),
        resumed_id=None if resumed_id is None else _decode_text(resumed_id),
    )


def _deadline(arrived_at: float, milliseconds: int | None) -> float | None:
    if milliseconds is None:
        return None
    return arrived_at + min(milliseconds, MAX_DEADLINE_MILLISECONDS) / 1000


def _api_key(value: bytes | None) -> str | None:
    text = _decode_text(value or b"")
    if not text.lower().startswith(BEARER_PREFIX):
        return None
    return text[len(BEARER_PREFIX) :].strip()


def _token_counts(headers: tuple[tuple[bytes, bytes], ...]) -> tuple[int, int]:
    value = find_header(headers, names.TOKEN_COUNT)
    if value is None:
        return 0, 0
    first, _, second = value.partition(b",")
    return _parse_number(first) or 0, _parse_number(second) or 0


def _prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Parse a list of ``ID:TOKENS`` entries; a malformed list has no parts."""
    parts = []
    for entry in (value or b"").split(b","):
        identifier, _, tokens = entry.strip().partition(b":")
        count = _parse_number(tokens)
        if not identifier or count is None:
            return ()
        parts.append(PromptPart(_decode_text(identifier), count))
    return tuple(parts)


def _parse_number(value: bytes | None) -> int | None:
    text = (value or b"").strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1")
