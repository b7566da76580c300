"""The choice of an endpoint: cached prefixes, queued prompts, failures, other hosts."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from amaranthhollow.decisions.choice import EndpointChooser, EndpointLoad
from amaranthhollow.decisions.endpoints import Endpoint, ListedEndpoint
from amaranthhollow.decisions.prompts import PromptPart, PromptShape, shape_from_text

HOT = PromptShape((PromptPart("hot", 13_000),), 3_000)
# What an engine reads within the aim for the first token: 64.2 tokens a millisecond
# for 0.64 s (system page, engines; developers' page, target).
FIRST_TOKEN_TOKENS = 41_000


def endpoint(name, data_centre="dc-1", slots=64):
    listed = ListedEndpoint(name, 1, "10.0.0.1", 1, data_centre, "model", slots=slots)
    return Endpoint(listed, "live")


@pytest.fixture
def chooser():
    return EndpointChooser("dc-1", Random(7))


@pytest.fixture
def engines():
    return [endpoint(f"e{number}") for number in range(6)]


def test_hosts_agree_on_the_endpoint_of_a_prefix(engines):
    choosers = [EndpointChooser("dc-1", Random(seed)) for seed in range(4)]
    chosen = {c.choose(engines, HOT, (), 0.0).host for c in choosers}

    assert len(chosen) == 1


def test_a_hot_prefix_spreads_before_its_endpoint_queues_for_long(chooser, engines):
    """Many callers ask about one thing in the same moment."""
    for _ in range(40):
        chosen = chooser.choose(engines, HOT, (), 0.0)
        chooser.record_sent(chosen.host, HOT)

    loads = chooser.local_loads()
    assert max(load.pending_tokens for load in loads.values()) < FIRST_TOKEN_TOKENS


def test_hosts_spread_a_hot_prefix_to_the_same_endpoints(engines):
    """What one host has no room for goes where the others' overflow has been read."""
    second = set()
    for seed in range(6):
        chooser = EndpointChooser("dc-1", Random(seed))
        first = chooser.choose(engines, HOT, (), 0.0)
        chooser.observe("other-host", {first.host: EndpointLoad(4, 40_000)})
        second.add(chooser.choose(engines, HOT, (), 0.0).host)

    assert len(second) == 1


def test_a_short_prompt_does_not_wait_behind_a_long_one(chooser, engines):
    short = PromptShape((PromptPart("short", 300),), 700)
    first = chooser.choose(engines, short, (), 0.0)
    chooser.observe("other-host", {first.host: EndpointLoad(1, 50_000)})

    assert chooser.choose(engines, short, (), 0.0).host != first.host


def test_what_other_hosts_sent_counts_until_they_say_otherwise(chooser, engines):
    chooser.observe("a", {"e0": EndpointLoad(2, 100)})
    chooser.observe("b", {"e0": EndpointLoad(3, 200), "e1": EndpointLoad(1, 0)})
    assert chooser.load("e0") == EndpointLoad(5, 300)

    chooser.observe("a", {})
    chooser.forget_host("b")
    assert chooser.load("e0") == chooser.load("e1") == EndpointLoad()


def test_an_endpoint_that_fails_is_avoided_and_tried_again_later(chooser):
    services = [endpoint("good"), endpoint("bad")]
    for _ in range(6):
        chooser.record_failure("bad", 1.0)
    soon = Counter(chooser.choose(services, None, (), 1.1).host for _ in range(50))
    later = Counter(chooser.choose(services, None, (), 30.0).host for _ in range(50))

    assert soon["bad"] == 0
    assert later["bad"] > 10


def test_plain_calls_stay_in_their_data_centre_while_it_has_room(chooser):
    near, far = endpoint("near", slots=6), endpoint("far", "dc-2", slots=6)
    chosen = []
    for _ in range(8):
        best = chooser.choose([near, far], None, (), 0.0)
        chooser.record_sent(best.host, None)
        chosen.append(best.host)

    assert chosen[0] == "near"
    assert 0 < Counter(chosen)["far"] < 4


def test_texts_with_the_same_opening_go_to_the_same_endpoint(chooser, engines):
    texts = ["p" * 300 + tail for tail in ("a", "b", "c")]
    shapes = [shape_from_text("drafting", text) for text in texts]
    chosen = {chooser.choose(engines, shape, (), 0.0).host for shape in shapes}

    assert len(chosen) == 1
    assert len({shape.shared for shape in shapes}) == 1


def test_load_of_one_prefix_is_bounded(chooser, engines):
    """A hundred requests at once for one prefix leave no endpoint a quarter more."""
    shape = PromptShape((PromptPart("one prefix", 200),), 100)
    for _ in range(100):
        chosen = chooser.choose(engines[:4], shape, (), 0.0)
        chooser.record_sent(chosen.host, shape)

    loads = [load.requests for load in chooser.local_loads().values()]
    assert max(loads) <= 1.25 * 100 / 4 + 1


def test_a_prefix_is_not_read_again_for_a_short_queue(chooser, engines):
    """Reading it again takes longer than the queue, and drives others from memory."""
    first = chooser.choose(engines, HOT, (), 0.0)
    chooser.record_prompt_read(first.host, chooser.record_sent(first.host, HOT))
    chooser.observe("other-host", {first.host: EndpointLoad(2, 15_000)})

    assert chooser.choose(engines, HOT, (), 0.0).host == first.host


def test_sessions_on_one_document_go_where_it_is_read(engines):
    """A long document is read once, also for sessions that no host has seen."""
    document = PromptPart("document", 12_000)
    chosen = set()
    for number in range(20):
        chooser = EndpointChooser("dc-1", Random(number))
        session = PromptPart(f"session-{number}", 300)
        shape = PromptShape((document, session), 1_000)
        chosen.add(chooser.choose(engines, shape, (), 0.0).host)

    assert len(chosen) == 1


def test_sessions_on_a_short_opening_spread(engines):
    chosen = set()
    for number in range(20):
        chooser = EndpointChooser("dc-1", Random(number))
        session = PromptPart(f"session-{number}", 4_000)
        shape = PromptShape((PromptPart("opening", 200), session), 1_000)
        chosen.add(chooser.choose(engines, shape, (), 0.0).host)

    assert len(chosen) == len(engines)


def test_what_an_endpoint_lacks_is_fetched_from_the_home_of_the_prompt(engines):
    """A host that has not sent the prompt before knows where the others sent it."""
    home = EndpointChooser("dc-1", Random(1)).choose(engines, HOT, (), 0.0)
    chooser = EndpointChooser("dc-1", Random(2))
    other = next(e for e in engines if e.host != home.host)

    assert chooser.cache_source(engines, other, HOT) == home
    assert chooser.cache_source(engines, home, HOT) != home


def test_nothing_is_fetched_to_an_endpoint_that_holds_it(chooser, engines):
    chosen = chooser.choose(engines, HOT, (), 0.0)
    chooser.record_sent(chosen.host, HOT)

    assert chooser.cache_source(engines, chosen, HOT) is None
    assert chooser.cache_source([chosen], chosen, HOT) is None


def test_nothing_small_is_fetched(chooser, engines):
    short = PromptShape((PromptPart("short", 300),), 700)

    assert chooser.cache_source(engines, engines[0], short) is None


def test_a_hot_prefix_spreads_sooner_where_it_can_be_fetched(chooser, engines):
    """Ten callers at once: fetching is cheaper than waiting behind the others."""
    for _ in range(10):
        chosen = chooser.choose(engines, HOT, (), 0.0, can_fetch=True)
        chooser.record_sent(chosen.host, HOT, fetches=True)

    loads = chooser.local_loads()
    assert max(load.pending_tokens for load in loads.values()) < FIRST_TOKEN_TOKENS / 2
