"""A bounded memory of what was met lately."""

import typing as t
from collections import OrderedDict

T = t.TypeVar("T", bound=t.Hashable)


class RecentSet(t.Generic[T]):
    """A set that lets go of what was added longest ago beyond a number of items."""

    def __init__(self, kept: int) -> None:
        self._kept = kept
        self._items: OrderedDict[T, None] = OrderedDict()

    def __contains__(self, item: T) -> bool:
        return item in self._items

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: T) -> None:
        """Add an item, or note that it was met again."""
        self._items[item] = None
        self._items.move_to_end(item)
        if len(self._items) > self._kept:
            self._items.popitem(last=False)

    def discard(self, item: T) -> None:
        """Let go of an item, if it is there."""
        self._items.pop(item, None)
