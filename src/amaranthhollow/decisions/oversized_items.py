"""Decides which items of a list are too large to be read again each time.

Another writer may leave items of up to the largest size that the store accepts among
small ones, and the store has no way to list items without their values. Items found to
be too large are left out, and further lists begin after them where no other item lies
in between. Now and then a list reads one of them again, to find items that have been
added before it or that have replaced it.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["MAX_ITEM_BYTES", "OversizedItems"]

# Many times an engine's or a host's entry.
MAX_ITEM_BYTES = 1 << 16
CHECK_INTERVAL_SECONDS = 10.0


class OversizedItems:
    """The items of one list that are too large, by what earlier reads of it found.

    A list calls :meth:`begin` once, :meth:`skip` before each page, and
    :meth:`record_page` after it. What an interrupted list has found is kept, so that
    the next one gets further::

        oversized.begin(now)
        after = oversized.skip("")
        oversized.record_page(after, small_keys, large_keys, is_last, now)
    """

    def __init__(self) -> None:
        """Start without known items."""
        self._small_keys: list[str] = []
        # Sorted, as the keys of small items are.
        self._skipped_keys: list[str] = []
        self._check_at_by_key: dict[str, float] = {}
        self._oversized_keys: set[str] = set()
        self._checked_key: str | None = None

    def __len__(self) -> int:
        return len(self._oversized_keys)

    def begin(self, now: float) -> None:
        """Begin a list, which reads at most one skipped item again."""
        check_at_by_key = self._check_at_by_key
        due = min(check_at_by_key, key=check_at_by_key.__getitem__, default=None)
        is_due = due is not None and now >= check_at_by_key[due]
        self._checked_key = due if is_due else None

    def skip(self, after: str) -> str:
        """Return the key after which the page that would follow ``after`` may begin."""
        next_small = bisect_right(self._small_keys, after)
        small_key = next(islice(self._small_keys, next_small, None), None)
        first = bisect_right(self._skipped_keys, after)
        for key in islice(self._skipped_keys, first, None):
            is_behind_small = small_key is not None and key > small_key
            if is_behind_small or key == self._checked_key:
                break
            after = key
        return after

    def record_page(
        self,
        after: str,
        small_keys: Collection[str],
        oversized_keys: Collection[str],
        is_last: bool,
        now: float,
    ) -> frozenset[str]:
        """Record what a page contained; return the large items that are new.

        An item that was small before is likely to be small again soon, so it is not
        skipped.
        """
        end = None if is_last else max((*small_keys, *oversized_keys), default=after)
        was_small = set(_take_between(self._small_keys, after, end))
        was_skipped = _take_between(self._skipped_keys, after, end)
        for key in was_skipped:
            del self._check_at_by_key[key]
        replaced = was_small.intersection(oversized_keys)
        for key in (*small_keys, *replaced):
            insort(self._small_keys, key)
        for key in set(oversized_keys) - replaced:
            insort(self._skipped_keys, key)
            self._check_at_by_key[key] = now + CHECK_INTERVAL_SECONDS
        known = self._oversized_keys
        gone = (was_small | set(was_skipped)) - set(oversized_keys)
        self._oversized_keys = (known - gone).union(oversized_keys)
        return frozenset(set(oversized_keys) - known)


def _take_between(keys: list[str], after: str, end: str | None) -> list[str]:
    """Remove the sorted keys after one and up to another, or to the end."""
    first = bisect_right(keys, after)
    last = len(keys) if end is None else bisect_right(keys, end)
    taken = keys[first:last]
    del keys[first:last]
    return taken
