"""What callers send wrong gets a problem document that names the field."""

from __future__ import annotations

import pytest

from amaranthhollow.configuration.model import RequestBounds
from amaranthhollow.gateway.problems import ProblemError
from amaranthhollow.gateway.requests import parse_model_request
from tests.callers import AUTHORIZATION

CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
FILING = "/services/filings/filings"
GOOD_CHAT = {"model": "draft-small", "messages": [{"role": "user", "content": "x"}]}

CASES = [
    (TEXT, b"{", 400, "(body)"),
    (TEXT, b"[1]", 400, "(body)"),
    (TEXT, b"\xff\xfe", 400, "(body)"),
    (TEXT, b"[" * 5000, 400, "(body)"),
    (TEXT, {"prompt": "x"}, 400, "model"),
    (TEXT, {"model": "other", "prompt": "x"}, 404, "model"),
    (TEXT, {"model": "draft-small"}, 400, "prompt"),
    (TEXT, {"model": "draft-small", "prompt": [1]}, 400, "prompt"),
    (TEXT, {"model": "draft-small", "prompt": "x", "max_tokens": 0}, 400, "max_tokens"),
    (TEXT, {"model": "draft-small", "prompt": "x", "stream": 1}, 400, "stream"),
    (TEXT, {"model": "draft-small", "prompt": "x", "n": 2}, 400, "n"),
    (CHAT, {"model": "draft-small", "messages": []}, 400, "messages"),
    (CHAT, {"model": "draft-small", "messages": [1]}, 400, "messages[0].role"),
    (
        CHAT,
        {"model": "draft-small", "messages": [{"role": "user"}]},
        400,
        "messages[0].content",
    ),
    (TEXT, b"x" * 1_100_000, 413, "(body)"),
    (FILING, b"form", 400, "Idempotency-Key"),
    ("/services/other/x", b"", 404, "service"),
]


async def test_wrong_requests_are_refused_with_the_field(configured_site):
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
async def test_wrong_headers(configured_site, headers, status, field):
    async with configured_site.session.post(
        configured_site.url("entry-1") + CHAT,
        headers={**AUTHORIZATION, **headers},
        json=GOOD_CHAT,
    ) as response:
        problem = await response.json(content_type=None)
    assert (response.status, problem["field"]) == (status, field)


async def test_unknown_path(configured_site):
    async with configured_site.session.get(
        configured_site.url("entry-1") + "/v2/x"
    ) as response:
        problem = await response.json(content_type=None)
    assert (response.status, problem["outcome"]) == (404, "not run")


def test_max_completion_tokens_goes_before_max_tokens():
    body = b'{"model":"m","prompt":"x","max_tokens":5,"max_completion_tokens":7}'
    request = parse_model_request(body, RequestBounds(), is_chat=False)
    assert request.max_tokens == 7


def test_bound_on_tokens_is_named():
    body = b'{"model":"m","prompt":"x","max_tokens":11}'
    with pytest.raises(ProblemError, match="'max_tokens' must be .* 1 to 10"):
        parse_model_request(body, RequestBounds(max_tokens=10), is_chat=False)
