"""Connections to addresses at which nothing can listen."""

from __future__ import annotations

import pytest

from amaranthhollow.serving.endpoint_connection import connect


# The exception broke the caller's connection off without a response.
@pytest.mark.parametrize(
    ("address", "port"),
    [("127.0.0.1", 70_000), ("127.0.0.1", -1), ("\x00", 80), ("a" * 70, 80)],
)
async def test_connecting_to_no_address_fails_without_an_exception(address, port):
    assert await connect(address, port, 0.2) is None
