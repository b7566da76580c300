"""Which items of a list are not read again, and what is found in spite of that."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.oversized_items import (
    CHECK_INTERVAL_SECONDS,
    OversizedItems,
)

KEYS = "abcdefgh"
PAGE_ITEMS = 3


def read_list(is_large_by_key, oversized, now):
    """Return the small items of a list and how many large ones were read.

    A page has up to three small items, or one large item.
    """
    oversized.begin(now)
    after, small, large_count = "", [], 0
    while True:
        after = oversized.skip(after)
        left = [key for key in sorted(is_large_by_key) if key > after]
        page = left[:PAGE_ITEMS]
        large = [key for key in page if is_large_by_key[key]]
        if large:
            page = page[: max(1, page.index(large[0]))]
        page_large = [key for key in page if is_large_by_key[key]]
        page_small = [key for key in page if not is_large_by_key[key]]
        is_last = len(page) == len(left)
        oversized.record_page(after, page_small, page_large, is_last, now)
        small += page_small
        large_count += len(page_large)
        if is_last:
            return small, large_count
        after = page[-1]


def test_large_items_before_the_others_are_read_once_and_then_one_at_a_time():
    items = {**dict.fromkeys("abcd", True), **dict.fromkeys("mnop", False)}
    oversized = OversizedItems()
    counts = []
    for second in range(13):
        small, count = read_list(items, oversized, float(second))
        assert small == ["m", "n", "o", "p"]
        counts.append(count)

    assert counts == [4, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1]


def test_large_items_that_are_gone_are_forgotten():
    items = {"a": True, "b": True, "m": False}
    oversized = OversizedItems()
    read_list(items, oversized, 0.0)
    for step in range(4):
        read_list({"m": False}, oversized, CHECK_INTERVAL_SECONDS * (step + 1))

    assert len(oversized) == 0


def test_interrupted_list_is_continued():
    oversized = OversizedItems()
    for key in "abc":
        oversized.begin(0.0)
        after = oversized.skip("")
        oversized.record_page(after, [], [key], is_last=False, now=0.0)

    assert oversized.skip("") == "c"


def test_item_that_was_small_before_is_read_each_time():
    oversized = OversizedItems()
    read_list({"a": False, "b": False}, oversized, 0.0)
    new = [
        oversized.record_page("", ["b"], ["a"], is_last=True, now=now)
        for now in (1.0, 2.0)
    ]
    assert new == [{"a"}, set()]
    assert len(oversized) == 1
    assert oversized.skip("") == ""

    assert read_list({"a": False, "b": False}, oversized, 2.0)[0] == ["a", "b"]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.data())
def test_lists_find_all_small_items_within_the_checks_of_all_large_ones(data):
    items = st.dictionaries(st.sampled_from(KEYS), st.booleans())
    oversized, now = OversizedItems(), 0.0
    listed = []
    for _ in range(data.draw(st.integers(1, 6))):
        present = data.draw(items)
        now += data.draw(st.floats(0.0, 2 * CHECK_INTERVAL_SECONDS))
        listed, _ = read_list(present, oversized, now)
        assert set(listed) <= {key for key, large in present.items() if not large}
    for _ in range(2 * len(KEYS)):
        now += CHECK_INTERVAL_SECONDS
        listed, _ = read_list(present, oversized, now)

    assert listed == sorted(key for key, large in present.items() if not large)
    assert len(oversized) == sum(present.values())
