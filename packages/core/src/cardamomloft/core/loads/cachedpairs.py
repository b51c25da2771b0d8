"""Pairs of endpoint and key that are cached, as entries learn them from each other."""

import typing as t
from array import array
from collections.abc import Callable

from cardamomloft.core.loads.hashes import pair_of, split_pair
from cardamomloft.core.loads.statements import Origin
from cardamomloft.core.messages import CachedRow

MAX_CACHED_ROWS = 200
"""Maximum number of cached rows in a message."""

MAX_PAIRS = 20_000
"""Maximum number of known pairs; the ones that were learned first are dropped. Each takes 0.13
KB."""

_DROPPED_FRACTION = 0.1
"""Fraction of the pairs that is dropped at once, as dropping each one alone takes linear time."""


class _Log:
    """Pairs in the order in which they were learned, from the position `first` on."""

    __slots__ = ("first", "pairs")

    def __init__(self) -> None:
        self.first = 0
        self.pairs = array("Q")

    @property
    def end(self) -> int:
        return self.first + len(self.pairs)

    def drop(self, count: int) -> t.Sequence[int]:
        dropped = self.pairs[:count]
        del self.pairs[:count]
        self.first += count
        return dropped


class CachedPairs:
    """The known pairs, and positions in the order in which they became known.

    A message to a peer has the pairs from the position that the peer has reached.
    """

    def __init__(self) -> None:
        self._known: set[int] = set()
        self._logs = {origin: _Log() for origin in Origin}

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, pair: int) -> bool:
        return pair in self._known

    def add(self, endpoint: int, key: int, origin: Origin) -> bool:
        """Add a pair; return whether it is new."""
        pair = pair_of(endpoint, key)
        if pair in self._known:
            return False
        self._known.add(pair)
        for scope in Origin:
            if origin <= scope:
                self._logs[scope].pairs.append(pair)
        if len(self._known) > MAX_PAIRS:
            self._drop_oldest()
        return True

    def since(
        self,
        position: int,
        origin: Origin,
        is_known: Callable[[int], bool],
        limit: int = MAX_CACHED_ROWS,
    ) -> tuple[list[CachedRow], int]:
        """Return the rows for a message, and the position after them.

        Parameters
        ----------
        position
            The position that the receiver has reached.
        origin
            Pairs from farther away are not sent.
        is_known
            Returns whether an endpoint is registered; pairs of others are left out.
        limit
            Maximum number of rows.
        """
        log = self._logs[origin]
        start = max(position, log.first)
        if start >= log.end:
            return [], log.end
        pairs = log.pairs[start - log.first : start - log.first + limit]
        rows = [CachedRow(*split_pair(pair)) for pair in pairs]
        return [row for row in rows if is_known(row.endpoint)], start + len(pairs)

    def retain(self, is_known: Callable[[int], bool]) -> None:
        """Remove the pairs of endpoints that are not registered any more.

        They stay in the logs, so that positions remain valid, and are not sent.
        """
        self._known = {pair for pair in self._known if is_known(split_pair(pair)[0])}

    def _drop_oldest(self) -> None:
        dropped = self._logs[Origin.ELSEWHERE].drop(int(MAX_PAIRS * _DROPPED_FRACTION))
        self._known.difference_update(dropped)
        for origin in (Origin.OWN, Origin.ZONE):
            log = self._logs[origin]
            kept = sum(pair in self._known for pair in log.pairs)
            log.drop(len(log.pairs) - kept)
