"""Invalid requests get a problem document that names the invalid field."""

from __future__ import annotations

import pytest

from amaranthhollow.configuration.model import RequestBounds
from amaranthhollow.gateway.problems import ProblemError
from amaranthhollow.gateway.requests import parse_model_request
from tests.callers import AUTHORIZATION

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
FILINGS_PATH = "/services/filings/filings"
VALID_CHAT = {"model": "draft-small", "messages": [{"role": "user", "content": "x"}]}

CASES = [
    (TEXT_PATH, b"{", 400, "(body)"),
    (TEXT_PATH, b"[1]", 400, "(body)"),
    (TEXT_PATH, b"\xff\xfe", 400, "(body)"),
    (TEXT_PATH, b"[" * 5000, 400, "(body)"),
    (TEXT_PATH, {"prompt": "x"}, 400, "model"),
    (TEXT_PATH, {"model": "other", "prompt": "x"}, 404, "model"),
    (TEXT_PATH, {"model": "draft-small"}, 400, "prompt"),
    (TEXT_PATH, {"model": "draft-small", "prompt": [1]}, 400, "prompt"),
    (
        TEXT_PATH,
        {"model": "draft-small", "prompt": "x", "max_tokens": 0},
        400,
        "max_tokens",
    ),
    (TEXT_PATH, {"model": "draft-small", "prompt": "x", "stream": 1}, 400, "stream"),
    (TEXT_PATH, {"model": "draft-small", "prompt": "x", "n": 2}, 400, "n"),
    (CHAT_PATH, {"model": "draft-small", "messages": []}, 400, "messages"),
    (CHAT_PATH, {"model": "draft-small", "messages": [1]}, 400, "messages[0].role"),
    (
        CHAT_PATH,
        {"model": "draft-small", "messages": [{"role": "user"}]},
        400,
        "messages[0].content",
    ),
    (TEXT_PATH, b"x" * 1_100_000, 413, "(body)"),
    (FILINGS_PATH, b"form", 400, "Idempotency-Key"),
    ("/services/other/x", b"", 404, "service"),
]


async def test_invalid_body_or_path_is_rejected_with_the_field(configured_site):
    for path, body, status, field in CASES:
        options = {"json": body} if isinstance(body, dict) else {"data": body}
        async with configured_site.session.post(
            configured_site.url("entry-1") + path, headers=AUTHORIZATION, **options
        ) as response:
            problem = await response.json(content_type=None)
        case = (path, str(body)[:60])
        assert (case, response.status, problem["field"]) == (case, status, field)
        assert response.headers["Content-Type"] == "application/problem+json"
        assert problem["outcome"] == "not run"
        assert field in problem["detail"] or field in ("(body)", "service")
    logs = [
        await configured_site.get_json(f"{configured_site.url(n)}/log")
        for n in ("service-1", "service-2")
    ]
    assert logs == [[], []]


@pytest.mark.parametrize(
    ("headers", "status", "field"),
    [
        ({"Authorization": "Bearer wrong"}, 401, "Authorization"),
        ({"Authorization": ""}, 401, "Authorization"),
        ({"X-Request-Deadline": "soon"}, 400, "X-Request-Deadline"),
        ({"X-Request-Deadline": "1000"}, 408, "X-Request-Deadline"),
        ({"Idempotency-Key": "k" * 300}, 400, "Idempotency-Key"),
        ({"Last-Event-ID": "x"}, 400, "Last-Event-ID"),
    ],
)
async def test_invalid_header_is_rejected_with_the_field(
    configured_site, headers, status, field
):
    async with configured_site.session.post(
        configured_site.url("entry-1") + CHAT_PATH,
        headers={**AUTHORIZATION, **headers},
        json=VALID_CHAT,
    ) as response:
        problem = await response.json(content_type=None)
    assert (response.status, problem["field"]) == (status, field)


async def test_unknown_path_is_rejected(configured_site):
    async with configured_site.session.get(
        configured_site.url("entry-1") + "/v2/x"
    ) as response:
        problem = await response.json(content_type=None)
    assert (response.status, problem["outcome"]) == (404, "not run")


def test_max_completion_tokens_overrides_max_tokens():
    body = b'{"model":"m","prompt":"x","max_tokens":5,"max_completion_tokens":7}'
    request = parse_model_request(body, RequestBounds(), is_chat=False)
    assert request.max_tokens == 7


def test_excessive_max_tokens_is_rejected_with_the_bound():
    body = b'{"model":"m","prompt":"x","max_tokens":11}'
    with pytest.raises(ProblemError, match="'max_tokens' must be .* 1 to 10"):
        parse_model_request(body, RequestBounds(max_tokens=10), is_chat=False)
