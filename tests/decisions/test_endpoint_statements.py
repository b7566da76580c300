"""What endpoints say of themselves, by incarnation."""

from __future__ import annotations

from amaranthhollow.decisions.endpoint_statements import EndpointStatements
from amaranthhollow.decisions.gossip import GossipTable


def test_endpoint_that_leaves_is_published_once():
    statements = EndpointStatements()
    fact = statements.leaving_fact("e", 7)
    statements.apply(fact)

    assert statements.leaving_fact("e", 7) is None
    assert statements.is_leaving("e", 7)


def test_new_incarnation_under_an_old_name_is_not_leaving():
    statements = EndpointStatements()
    statements.apply(statements.leaving_fact("e", 7))

    assert not statements.is_leaving("e", 8)


def test_late_word_of_an_older_incarnation_does_not_clear_a_newer_one():
    table, statements = GossipTable("host"), EndpointStatements()
    newer = statements.leaving_fact("e", 8)
    older = EndpointStatements().leaving_fact("e", 7)
    for fact in (newer, older):
        statements.apply(fact)

    assert statements.is_leaving("e", 8)
    assert table.merge([newer, older], 2) == [newer]


def test_rest_ends_at_its_time_and_with_its_incarnation():
    statements = EndpointStatements()
    statements.rest("e", 7, until=105.0)

    assert statements.rests_until("e", 7, now=104.9) == 105.0
    assert statements.rests_until("e", 7, now=105.0) is None
    assert statements.rests_until("e", 8, now=101.0) is None


def test_shorter_rest_does_not_cut_a_longer_one():
    statements = EndpointStatements()
    statements.rest("e", 7, until=160.0)
    statements.rest("e", 7, until=105.0)

    assert statements.rests_until("e", 7, now=110.0) == 160.0


def test_leaving_ends_when_it_is_forgotten_and_a_rest_at_its_time():
    statements = EndpointStatements()
    statements.apply(statements.leaving_fact("e", 7))
    statements.rest("e", 7, until=105.0)

    assert statements.forget_leaving("e")
    statements.expire(104.9)
    assert statements.rests_until("e", 7, now=104.9) == 105.0
    statements.expire(105.0)
    assert not statements.has_any
