"""Responses of the store that cannot be read."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok

from amaranthhollow.platform.store_documents import (
    WireChanges,
    WireItemAtRevision,
    WireLease,
    WirePage,
    WireRevision,
    decode_body,
    decode_era,
)

MODELS = [WireChanges, WireItemAtRevision, WireLease, WirePage, WireRevision]
NESTED = b"[" * 100_000 + b"]" * 100_000


# An exception ended the task that had called the store.
@pytest.mark.parametrize(
    "value", [b"", b"-1", b"1.5", b"9" * 5000, b"9" * 12, b"\xb2", b" 1", b"one"]
)
def test_unreadable_era_is_none(value):
    assert decode_era(((b"store-era", value),)) is None


def test_era_is_a_number_and_0_if_it_is_not_stated():
    assert decode_era(((b"store-era", b"7"),)) == 7
    assert decode_era(()) == 0


@pytest.mark.parametrize("model", MODELS)
@pytest.mark.parametrize(
    "body",
    [
        b'{"items": [], "events": [], "x": ' + NESTED + b"}",
        b'{"as_of": -1, "revision": -1, "ttl_ms": 1e999, "items": [], "events": []}',
        b'{"as_of": 1' + b"0" * 400 + b', "items": [], "events": []}',
        b"[]",
    ],
    ids=["nested", "negative", "huge", "other"],
)
def test_unreadable_body_is_an_error(model, body):
    assert isinstance(decode_body(body, model), Err)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(data=st.data())
def test_any_body_has_a_result(data):
    body = data.draw(
        st.binary(max_size=60)
        | st.builds(
            lambda key, number: f'{{"key": {key}, "revision": {number}}}'.encode(),
            st.sampled_from(['"a"', "5", "null", '"\\\\ud800"']),
            st.integers() | st.floats(),
        )
    )
    for model in MODELS:
        assert isinstance(decode_body(body, model), Ok | Err)
