"""End-to-end tests with daemons, endpoints and the platform as processes."""

from __future__ import annotations

import asyncio
import json
import signal

from openai import AsyncOpenAI

from tests.site import ADVISER_KEY

AUTHORIZATION = {"Authorization": f"Bearer {ADVISER_KEY}"}


def openai_client(site, name):
    url = f"{site.url(name)}/v1"
    return AsyncOpenAI(base_url=url, api_key=ADVISER_KEY, max_retries=0)


async def test_openai_client_gets_complete_and_streamed_responses(configured_site):
    messages = [{"role": "user", "content": "review the cohort of 1962"}]
    texts = []
    for name in ("entry-1", "entry-2"):
        client = openai_client(configured_site, name)
        completion = await client.chat.completions.create(
            model="draft-small", messages=messages, max_tokens=12
        )
        parts = []
        async for chunk in await client.chat.completions.create(
            model="draft-small", messages=messages, max_tokens=12, stream=True
        ):
            parts += [choice.delta.content for choice in chunk.choices]
        assert completion.choices[0].finish_reason == "length"
        assert completion.usage.completion_tokens == 12
        texts += [completion.choices[0].message.content, "".join(parts)]
    assert len(texts[0].split()) == 12
    assert len(set(texts)) == 1


async def test_models_are_listed(configured_site):
    models = await openai_client(configured_site, "entry-1").models.list()
    assert [model.id for model in models.data] == ["draft-small"]


async def test_every_event_has_an_id(configured_site):
    body = {"model": "draft-small", "prompt": "a b", "max_tokens": 3, "stream": True}
    url = f"{configured_site.url('entry-1')}/v1/completions"
    async with configured_site.session.post(
        url, json=body, headers=AUTHORIZATION
    ) as response:
        lines = (await response.text()).split("\n\n")
    ids = [line.split("\n")[0] for line in lines if line]
    assert ids == ["id: 1", "id: 2", "id: 3", "id: 4"]
    assert lines[3].endswith("data: [DONE]")


async def test_service_call_is_forwarded(configured_site):
    url = f"{configured_site.url('entry-1')}/services/filings/status/7%20a?x=1"
    async with configured_site.session.get(url, headers=AUTHORIZATION) as response:
        run = await response.json()
    assert (response.status, run["path"], run["query"]) == (201, "/status/7 a", "x=1")


async def test_repeated_filing_to_both_daemons_is_run_once(configured_site):
    headers = {**AUTHORIZATION, "Idempotency-Key": "filing-1"}
    responses = []
    for name in ("entry-1", "entry-2", "entry-1"):
        url = f"{configured_site.url(name)}/services/filings/filings"
        async with configured_site.session.post(
            url, data="form", headers=headers
        ) as response:
            responses.append((response.status, await response.json()))
    runs = [*await configured_site.get_json(f"{configured_site.url('service-1')}/log")]
    runs += await configured_site.get_json(f"{configured_site.url('service-2')}/log")
    assert len(runs) == 1
    assert responses == [(201, runs[0])] * 3


async def test_sighup_does_not_stop_daemon(configured_site):
    """The kernel sends SIGHUP to a stopped process when its group is orphaned."""
    process = configured_site.processes_by_name["entry-1"]
    process.deliver_signal(signal.SIGSTOP)
    process.deliver_signal(signal.SIGHUP)
    process.deliver_signal(signal.SIGCONT)
    await configured_site.wait_until(
        lambda: has_logged(process, "SIGHUP"), "the signal is logged"
    )
    process.deliver_signal(signal.SIGTERM)
    assert await asyncio.to_thread(process.wait) == 0


async def has_logged(process, text):
    """Return whether the log contains ``text``; also True if the process exited."""
    return process.popen.poll() is not None or text in process.log_path.read_text()


async def test_state_dump_by_tool_and_by_signal(configured_site):
    process = configured_site.processes_by_name["entry-1"]
    shown = await configured_site.run_cli("state", "entry-1")
    assert json.loads(shown.stdout)["state"] == "ready"
    process.deliver_signal(signal.SIGUSR1)
    await configured_site.wait_until(
        lambda: is_dumped(process.log_path), "the state is in the log"
    )
    assert ADVISER_KEY not in process.log_path.read_text() + shown.stdout


async def is_dumped(log_path):
    return '"host":"entry-1"' in log_path.read_text()


async def test_terminated_daemon_completes_open_streams(configured_site):
    process = configured_site.processes_by_name["entry-1"]
    body = {"model": "draft-small", "prompt": "a b", "max_tokens": 250, "stream": True}
    url = f"{configured_site.url('entry-1')}/v1/completions"
    async with configured_site.session.post(
        url, json=body, headers=AUTHORIZATION
    ) as response:
        await response.content.readline()
        process.deliver_signal(signal.SIGTERM)
        text = await response.text()
    assert text.rstrip().endswith("data: [DONE]")
    assert text.count("data: ") == 251
    assert await asyncio.to_thread(process.wait) == 0


async def test_daemon_without_configuration_rejects_requests_temporarily(site):
    await site.start_daemon("entry-1", wait_until_ready=False)
    await site.wait_for_url(f"{site.url('entry-1')}/live")
    url = f"{site.url('entry-1')}/services/filings/status/1"
    async with site.session.get(url, headers=AUTHORIZATION) as response:
        assert response.status == 503
        assert int(response.headers["Retry-After"]) > 0
        assert (await response.json())["outcome"] == "not run"
