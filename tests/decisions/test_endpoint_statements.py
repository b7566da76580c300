"""What endpoints say of themselves, by incarnation."""

from __future__ import annotations

from amaranthhollow.decisions.endpoint_statements import EndpointStatements
from amaranthhollow.decisions.gossip import GossipTable

ADDRESS = "10.0.0.1:80"
HEARD_AT = 1_700_000_000.0
BEFORE, AFTER = 1_699_999_990_000, 1_700_000_002_000


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
    statements.rest(ADDRESS, HEARD_AT, until=105.0)

    assert statements.rests_until(ADDRESS, BEFORE, now=104.9) == 105.0
    assert statements.rests_until(ADDRESS, BEFORE, now=105.0) is None
    assert statements.rests_until(ADDRESS, AFTER, now=101.0) is None
    assert statements.rests_until("10.0.0.2:80", BEFORE, now=101.0) is None


# An endpoint that asked for a rest as soon as it had started got requests, if its clock
# was ahead of the host's.
def test_rest_holds_for_an_endpoint_that_has_just_started():
    statements = EndpointStatements()
    statements.rest(ADDRESS, HEARD_AT, until=105.0)

    just_started = int((HEARD_AT + 0.9) * 1000)
    assert statements.rests_until(ADDRESS, just_started, now=101.0) == 105.0


def test_shorter_rest_does_not_cut_a_longer_one():
    statements = EndpointStatements()
    statements.rest(ADDRESS, HEARD_AT, until=160.0)
    statements.rest(ADDRESS, HEARD_AT + 1.0, until=105.0)

    assert statements.rests_until(ADDRESS, BEFORE, now=110.0) == 160.0


# The earlier end of two rests was kept.
def test_longer_rest_extends_a_shorter_one():
    statements = EndpointStatements()
    statements.rest(ADDRESS, HEARD_AT, until=105.0)
    statements.rest(ADDRESS, HEARD_AT + 1.0, until=160.0)

    assert statements.rests_until(ADDRESS, BEFORE, now=101.0) == 160.0
    assert statements.rests_until(ADDRESS, BEFORE, now=110.0) == 160.0


def test_rest_of_a_later_incarnation_is_not_that_of_an_earlier_one():
    statements = EndpointStatements()
    statements.rest(ADDRESS, HEARD_AT, until=160.0)
    statements.rest(ADDRESS, HEARD_AT + 10.0, until=105.0)
    between = int((HEARD_AT + 5.0) * 1000)

    assert statements.rests_until(ADDRESS, between, now=101.0) == 105.0
    assert statements.rests_until(ADDRESS, BEFORE, now=101.0) == 160.0


def test_leaving_holds_for_all_that_had_started_at_the_address():
    statements = EndpointStatements()
    statements.hear_leaving(ADDRESS, HEARD_AT)

    assert statements.has_said_leaving(ADDRESS, BEFORE)
    assert not statements.has_said_leaving(ADDRESS, AFTER)
    assert not statements.has_said_leaving("10.0.0.2:80", BEFORE)


# An endpoint of another service at the address of one that had left.
def test_leaving_does_not_hold_for_an_unknown_start():
    statements = EndpointStatements()
    statements.hear_leaving(ADDRESS, HEARD_AT)

    assert not statements.has_said_leaving(ADDRESS, 0)


def test_statements_expire():
    statements = EndpointStatements()
    statements.apply(statements.leaving_fact("e", 7))
    statements.hear_leaving(ADDRESS, HEARD_AT)
    statements.rest(ADDRESS, HEARD_AT, until=105.0)

    assert statements.forget_leaving("e")
    statements.expire(104.9, HEARD_AT + 3599.0)
    assert statements.rests_until(ADDRESS, BEFORE, now=104.9) == 105.0
    assert statements.has_said_leaving(ADDRESS, BEFORE)
    statements.expire(105.0, HEARD_AT + 3600.0)
    assert not statements.has_any
