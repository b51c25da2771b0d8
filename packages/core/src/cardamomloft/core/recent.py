"""A bounded set of recently added items."""

import typing as t
from collections import OrderedDict

T = t.TypeVar("T", bound=t.Hashable)


class RecentSet(t.Generic[T]):
    """A set of at most `max_items` items; the items added longest ago are evicted first."""

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._items: OrderedDict[T, None] = OrderedDict()

    def __contains__(self, item: T) -> bool:
        return item in self._items

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: T) -> None:
        """Add an item, or make an existing one the most recent."""
        self._items[item] = None
        self._items.move_to_end(item)
        if len(self._items) > self._max_items:
            self._items.popitem(last=False)

    def discard(self, item: T) -> None:
        """Remove an item if it is present."""
        self._items.pop(item, None)
