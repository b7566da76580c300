"""Tests of the decoded heads of endpoints' responses."""

from __future__ import annotations

import pytest

from amaranthhollow.platform.endpoints import decode_response_head
from amaranthhollow.serving.messages import ResponseHead


def rate_limit_of(*headers):
    return decode_response_head(ResponseHead(200, headers)).rate_limit


@pytest.mark.parametrize(
    ("value", "rate"), [(b"1", 1.0), (b"1.1", 1.1), (b" 0.25 ", 0.25), (b"0", 0.0)]
)
def test_rate_limit_is_a_decimal_number(value, rate):
    assert rate_limit_of((b"server-limit", value)) == rate


def test_response_without_the_header_states_no_limit():
    assert rate_limit_of() is None


@pytest.mark.parametrize("value", [b"", b"many", b"-1", b"nan", b"inf", b"1;2"])
def test_unreadable_limit_counts_as_zero(value):
    assert rate_limit_of((b"server-limit", value)) == 0.0
