"""Endpoints that write an earlier refusal once more on a kept connection."""

from __future__ import annotations

from tests.standins.scripted_endpoint import plain_response

REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


# Callers were told that a request had not run which an endpoint was running, or it ran
# at a second endpoint.
async def test_refusal_of_an_earlier_request_is_not_that_of_the_next(
    site, daemon_address
):
    for endpoint in site.endpoints.values():
        endpoint.queued_scripts.append(plain_response())
        endpoint.queued_scripts.append([REFUSAL, 0.1, *plain_response()])
    statuses = []
    for number in range(8):
        response = await site.send_request(
            daemon_address, "/once/", f"r{number}", method="POST"
        )
        statuses.append(response.status)

    assert any(not endpoint.queued_scripts for endpoint in site.endpoints.values())
    assert set(statuses) <= {200, 502}
    identifiers = [arrival.request_id for arrival in site.arrivals]
    assert len(identifiers) == len(set(identifiers))


# A 408 promises that a request has not run, which an endpoint that does not say so
# cannot promise.
async def test_timeout_status_of_an_endpoint_is_no_promise(site, daemon_address):
    for endpoint in site.endpoints.values():
        endpoint.default_script = plain_response(status=408)
    response = await site.send_request(daemon_address, "/once/", "r1", method="POST")

    assert response.status == 502
