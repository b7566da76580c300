"""Any bytes at all are decoded to a value or to a reason."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from result import Err, Ok

from amaranthhollow.decoding import (
    Amount,
    Label,
    Milliseconds,
    Number,
    decode_json,
    decode_msgpack,
    is_host_address,
)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A record with a value of each range."""

    label: Label
    number: Number = 0
    amount: Amount = 0.0
    started_ms: Milliseconds = 0


def encoded(*values):
    return msgspec.msgpack.encode(["a", *values])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x91" * 100_000,
        b"\xdd\xff\xff\xff\xff",
        encoded(2**64 - 1),
        encoded(-1),
        encoded(0, float("nan")),
        encoded(0, float("inf")),
        encoded(0, -1e300),
        encoded(0, 0.0, 10**15),
        msgspec.msgpack.encode(["a" * 100_000]),
        msgspec.msgpack.encode([b"a"]),
    ],
    ids=lambda data: repr(data[:12]),
)
def test_messagepack_out_of_range_is_an_error(data):
    assert isinstance(decode_msgpack(data, Record), Err)


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b'["a", 0, 0.0, 0, ' + b"[" * 100_000 + b"]" * 100_000 + b"]",
        b'["a", 1' + b"0" * 400 + b"]",
        b'["a", 1' + b"0" * 9000 + b"]",
        b'["a", 0, 1e999]',
        b'["a", 0, 1' + b"0" * 400 + b"]",
        b'["\\ud800"]',
        b'["\xff"]',
    ],
    ids=lambda data: repr(data[:16]),
)
def test_json_out_of_range_is_an_error(data):
    assert isinstance(decode_json(data, Record), Err)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.binary(max_size=200))
def test_any_bytes_have_a_result(data):
    for decode in (decode_json, decode_msgpack):
        match decode(data, Record):
            case Ok(record):
                assert msgspec.msgpack.encode(record)
            case Err(reason):
                assert reason


@pytest.mark.parametrize("address", ["10.0.0.1", "127.0.0.1", "::1", "fd00::7"])
def test_address_of_a_host(address):
    assert is_host_address(address)
    assert is_host_address(address, is_ipv4=True) is ("." in address)


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0",
        "0.0.0.0",
        "224.0.0.1",
        "::",
        "ff02::1",
        "host",
        "\0",
        "\ud800",
        "1",
    ],
)
def test_no_address_of_a_host(address):
    assert not is_host_address(address)
