"""Gateways that tell each other which endpoints fail, as a policy of the model."""

import typing as t
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta

from cardamomloft.core.registrations import Upstream
from cardamomloft.core.selection import Selector

PASSING = timedelta(milliseconds=150)
"""From a failure at one gateway until all others know of it: a relay on each side, and the links
between regions."""

FAILURES_TO_REST = 2
"""Failures in a row, whoever had them, after which an endpoint rests everywhere."""

FIRST_REST = timedelta(milliseconds=300)
"""The first rest, doubled with each further failure, that of the product."""

LONGEST_REST = timedelta(seconds=4)
"""The longest rest, that of the product."""


class SharingSelector(Selector):
    """Counts the failures of all gateways, where the product counts a gateway's own.

    Only failures are told, and answers of endpoints that have failed since their last one.

    Attributes
    ----------
    others
        The selectors of all other gateways.
    """

    reactor: t.Any = None
    peers: Sequence["SharingSelector"] = ()
    told = 0

    def __init__(self, *args: t.Any) -> None:
        super().__init__(*args)
        self._in_a_row: Counter[str] = Counter()

    def failed(self, upstream: Upstream, now: timedelta) -> None:
        """Note a failure here, and tell the others."""
        self._tell(upstream.id, failed=True)

    def answered(self, upstream: Upstream, took: timedelta, load: float) -> None:
        """Note an answer here, and tell the others if the endpoint is suspected."""
        rests = upstream.rest_until
        super().answered(upstream, took, load)
        if self._in_a_row[upstream.id]:
            upstream.rest_until = rests
            self._tell(upstream.id, failed=False)

    def heard(self, upstream_id: str, *, failed: bool) -> None:
        """Take what one of the gateways, or this one, has seen."""
        upstream = self._book.get(upstream_id)
        if upstream is None:
            return
        count = self._in_a_row[upstream_id] = self._in_a_row[upstream_id] + 1 if failed else 0
        if not failed:
            upstream.rest_until = timedelta(0)
        elif count >= FAILURES_TO_REST:
            rest = min(FIRST_REST * 2 ** min(count - FAILURES_TO_REST, 4), LONGEST_REST)
            upstream.rest_until = timedelta(seconds=self.reactor.seconds()) + rest

    def _tell(self, upstream_id: str, *, failed: bool) -> None:
        self.told += 1
        self.heard(upstream_id, failed=failed)
        for peer in self.peers:
            self.reactor.callLater(PASSING.total_seconds(), peer.heard, upstream_id, failed=failed)


def connect(reactor: t.Any, selectors: Sequence[Selector]) -> None:
    """Let those that tell each other know of each other."""
    telling = [one for one in selectors if isinstance(one, SharingSelector)]
    for one in telling:
        one.reactor = reactor
        one.peers = [other for other in telling if other is not one]
