"""Choice of an endpoint by cached prefixes, queued prompts, failures and peers."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from amaranthhollow.decisions.choice import EndpointChooser, EndpointLoad
from amaranthhollow.decisions.endpoints import Endpoint, ListedEndpoint
from amaranthhollow.decisions.prompts import PromptPart, PromptShape, shape_from_text

HOT_PROMPT = PromptShape((PromptPart("hot", 13_000),), 3_000)
# Tokens that an engine reads within the target for the first token: 64.2 tokens per
# millisecond for 0.64 s.
MAX_TOKENS_BEFORE_FIRST = 41_000


def endpoint(name, data_centre="dc-1", slots=64):
    listed = ListedEndpoint(name, 1, "10.0.0.1", 1, data_centre, "model", slots=slots)
    return Endpoint(listed, "live")


@pytest.fixture
def chooser():
    return EndpointChooser("dc-1", Random(7))


@pytest.fixture
def engines():
    return [endpoint(f"e{number}") for number in range(6)]


def test_all_hosts_choose_the_same_endpoint_for_a_prefix(engines):
    choosers = [EndpointChooser("dc-1", Random(seed)) for seed in range(4)]
    chosen = {c.choose(engines, HOT_PROMPT, (), 0.0).host for c in choosers}

    assert len(chosen) == 1


def test_hot_prefix_spreads_before_queue_exceeds_first_token_target(chooser, engines):
    """Guards against a queue at one endpoint when many callers share a prefix."""
    for _ in range(40):
        chosen = chooser.choose(engines, HOT_PROMPT, (), 0.0)
        chooser.record_sent(chosen.host, HOT_PROMPT)

    loads = chooser.local_loads()
    assert max(load.pending_tokens for load in loads.values()) < MAX_TOKENS_BEFORE_FIRST


def test_all_hosts_overflow_a_prefix_to_the_same_endpoint(engines):
    """Overflow of all hosts goes to one second endpoint, which then has it cached."""
    second = set()
    for seed in range(6):
        chooser = EndpointChooser("dc-1", Random(seed))
        first = chooser.choose(engines, HOT_PROMPT, (), 0.0)
        chooser.observe("other-host", {first.host: EndpointLoad(4, 40_000)})
        second.add(chooser.choose(engines, HOT_PROMPT, (), 0.0).host)

    assert len(second) == 1


def test_short_prompt_avoids_endpoint_that_reads_a_long_one(chooser, engines):
    short = PromptShape((PromptPart("short", 300),), 700)
    first = chooser.choose(engines, short, (), 0.0)
    chooser.observe("other-host", {first.host: EndpointLoad(1, 50_000)})

    assert chooser.choose(engines, short, (), 0.0).host != first.host


def test_reported_loads_count_until_replaced_or_forgotten(chooser, engines):
    chooser.observe("a", {"e0": EndpointLoad(2, 100)})
    chooser.observe("b", {"e0": EndpointLoad(3, 200), "e1": EndpointLoad(1, 0)})
    assert chooser.load("e0") == EndpointLoad(5, 300)

    chooser.observe("a", {})
    chooser.forget_host("b")
    assert chooser.load("e0") == chooser.load("e1") == EndpointLoad()


def test_failed_endpoint_is_avoided_and_chosen_again_later(chooser):
    services = [endpoint("good"), endpoint("bad")]
    for _ in range(6):
        chooser.record_failure("bad", 1.0)
    shortly_after = Counter(
        chooser.choose(services, None, (), 1.1).host for _ in range(50)
    )
    later = Counter(chooser.choose(services, None, (), 30.0).host for _ in range(50))

    assert shortly_after["bad"] == 0
    assert later["bad"] > 10


def test_service_calls_stay_in_their_data_centre_while_it_has_slots(chooser):
    local, remote = endpoint("near", slots=6), endpoint("far", "dc-2", slots=6)
    chosen = []
    for _ in range(8):
        best = chooser.choose([local, remote], None, (), 0.0)
        chooser.record_sent(best.host, None)
        chosen.append(best.host)

    assert chosen[0] == "near"
    assert 0 < Counter(chosen)["far"] < 4


def test_texts_with_the_same_prefix_go_to_the_same_endpoint(chooser, engines):
    texts = ["p" * 300 + suffix for suffix in ("a", "b", "c")]
    shapes = [shape_from_text("drafting", text) for text in texts]
    chosen = {chooser.choose(engines, shape, (), 0.0).host for shape in shapes}

    assert len(chosen) == 1
    assert len({shape.shared for shape in shapes}) == 1


def test_load_of_one_prefix_is_spread_over_endpoints(chooser, engines):
    """No endpoint gets over a quarter more than its part of 100 requests at once."""
    shape = PromptShape((PromptPart("one prefix", 200),), 100)
    for _ in range(100):
        chosen = chooser.choose(engines[:4], shape, (), 0.0)
        chooser.record_sent(chosen.host, shape)

    loads = [load.requests for load in chooser.local_loads().values()]
    assert max(loads) <= 1.25 * 100 / 4 + 1


def test_short_queue_does_not_move_a_cached_prefix(chooser, engines):
    """Reading it again takes longer than the queue and evicts other cached parts."""
    first = chooser.choose(engines, HOT_PROMPT, (), 0.0)
    chooser.record_prompt_read(first.host, chooser.record_sent(first.host, HOT_PROMPT))
    chooser.observe("other-host", {first.host: EndpointLoad(2, 15_000)})

    assert chooser.choose(engines, HOT_PROMPT, (), 0.0).host == first.host


def test_sessions_on_one_long_document_share_an_endpoint(engines):
    """A long document is read once, also for sessions that are new to all hosts."""
    document = PromptPart("document", 12_000)
    chosen = set()
    for number in range(20):
        chooser = EndpointChooser("dc-1", Random(number))
        session = PromptPart(f"session-{number}", 300)
        shape = PromptShape((document, session), 1_000)
        chosen.add(chooser.choose(engines, shape, (), 0.0).host)

    assert len(chosen) == 1


def test_sessions_on_a_short_prefix_spread_over_endpoints(engines):
    chosen = set()
    for number in range(20):
        chooser = EndpointChooser("dc-1", Random(number))
        session = PromptPart(f"session-{number}", 4_000)
        shape = PromptShape((PromptPart("opening", 200), session), 1_000)
        chosen.add(chooser.choose(engines, shape, (), 0.0).host)

    assert len(chosen) == len(engines)


def test_missing_parts_are_fetched_from_the_top_ranked_endpoint(engines):
    """A host that never sent the prompt derives where the others sent it."""
    top_ranked = EndpointChooser("dc-1", Random(1)).choose(engines, HOT_PROMPT, (), 0.0)
    chooser = EndpointChooser("dc-1", Random(2))
    other = next(e for e in engines if e.host != top_ranked.host)

    assert chooser.cache_source(engines, other, HOT_PROMPT) == top_ranked
    assert chooser.cache_source(engines, top_ranked, HOT_PROMPT) != top_ranked


def test_cached_parts_are_not_fetched(chooser, engines):
    chosen = chooser.choose(engines, HOT_PROMPT, (), 0.0)
    chooser.record_sent(chosen.host, HOT_PROMPT)

    assert chooser.cache_source(engines, chosen, HOT_PROMPT) is None
    assert chooser.cache_source([chosen], chosen, HOT_PROMPT) is None


def test_small_parts_are_not_fetched(chooser, engines):
    short = PromptShape((PromptPart("short", 300),), 700)

    assert chooser.cache_source(engines, engines[0], short) is None


def test_hot_prefix_spreads_sooner_when_it_can_be_fetched(chooser, engines):
    """With ten concurrent callers, a fetch is cheaper than waiting in the queue."""
    for _ in range(10):
        chosen = chooser.choose(engines, HOT_PROMPT, (), 0.0, can_fetch=True)
        chooser.record_sent(chosen.host, HOT_PROMPT, fetches=True)

    loads = chooser.local_loads()
    assert (
        max(load.pending_tokens for load in loads.values())
        < MAX_TOKENS_BEFORE_FIRST / 2
    )
