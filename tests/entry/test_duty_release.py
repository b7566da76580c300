"""The lease of the duties when its holder shuts down."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from result import Err, Ok

from amaranthhollow.decisions.duties import DutyState
from amaranthhollow.entry.duty_lease import DutyLease
from amaranthhollow.platform.cloud import CloudClient, DutyHolder
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.http_client import CallError, CallFailure, CallResponse

LEASE_SECONDS = 3.0
ANSWERED = Ok(CallResponse(200, b""))
UNANSWERED = Err(CallError(CallFailure.UNCERTAIN, "timed out"))
HOLDER = DutyHolder("host-1", 7)


class SlowClient:
    """An HTTP client whose calls end when the test says so."""

    def __init__(self):
        self.calls = []

    async def call(self, call, timeout_seconds):
        self.calls.append(asyncio.get_running_loop().create_future())
        return await self.calls[-1]


class Store:
    def __init__(self):
        self.ended = []

    async def end(self, lease, timeout_seconds):
        self.ended.append(lease)


@pytest.fixture
def holder():
    """A host that holds the duties, has a call open and is told to shut down."""
    client = SlowClient()
    host = SimpleNamespace(
        name="host-1",
        duty=DutyState(LEASE_SECONDS).acquired(7, now()),
        store=Store(),
        is_draining=True,
    )
    cloud = CloudClient(client)
    lease = DutyLease(host, cloud)
    return SimpleNamespace(host=host, cloud=cloud, client=client, lease=lease)


# The call of a holder that shut down arrived after those of the next one.
async def test_lease_is_given_back_once_open_calls_have_ended(holder):
    call = asyncio.create_task(holder.cloud.report_usage(b"{}", HOLDER, 0.8))
    await asyncio.sleep(0)
    running = asyncio.create_task(holder.lease.run())
    await asyncio.sleep(0.3)
    ended_during_call = list(holder.host.store.ended)
    late = asyncio.create_task(holder.cloud.report_usage(b"{}", HOLDER, 0.8))
    await asyncio.sleep(0)
    for open_call in holder.client.calls:
        open_call.set_result(ANSWERED)
    await asyncio.sleep(0.05)
    running.cancel()

    assert ended_during_call == []
    assert len(holder.host.store.ended) == 1
    assert holder.host.duty.observed_holder.is_released
    assert (await late).is_err()
    assert len(holder.client.calls) == 1
    assert (await call).is_ok()


async def test_lease_expires_by_itself_if_a_call_may_still_arrive(holder):
    call = asyncio.create_task(holder.cloud.report_usage(b"{}", HOLDER, 0.8))
    await asyncio.sleep(0)
    holder.client.calls[0].set_result(UNANSWERED)
    await call
    running = asyncio.create_task(holder.lease.run())
    await asyncio.sleep(0.25)
    running.cancel()

    assert holder.host.store.ended == []
    assert holder.host.duty.held_lease is None
    assert not holder.host.duty.may_call(now(), 0.1)
