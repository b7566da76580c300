"""Numbers that endpoints stated at an address."""

from __future__ import annotations

from amaranthhollow.decisions.address_statements import AddressStatements

ADDRESS = "10.0.0.1:80"
HEARD_AT = 1_700_000_000.0
BEFORE, AFTER = 1_699_999_990_000, 1_700_000_000_001


def test_statement_holds_for_all_that_had_started_at_the_address():
    statements = AddressStatements()
    statements.hear(ADDRESS, 2.0, HEARD_AT)

    assert statements.find(ADDRESS, BEFORE) == 2.0
    assert statements.find(ADDRESS, AFTER) is None
    assert statements.find("10.0.0.2:80", BEFORE) is None


def test_statement_does_not_hold_for_an_unknown_start():
    statements = AddressStatements()
    statements.hear(ADDRESS, 2.0, HEARD_AT)

    assert statements.find(ADDRESS, 0) is None


def test_statement_is_withdrawn_and_expires():
    statements = AddressStatements()
    statements.hear(ADDRESS, 2.0, HEARD_AT)
    statements.hear(ADDRESS, None, HEARD_AT + 1.0)
    assert not statements.has_any

    statements.hear(ADDRESS, 2.0, HEARD_AT)
    statements.expire(HEARD_AT + 599.0)
    assert statements.has_any
    statements.expire(HEARD_AT + 600.0)
    assert not statements.has_any
