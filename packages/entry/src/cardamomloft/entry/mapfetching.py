"""Fetches the missing chunks of the client-block map from the store or from peers."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from expression import Result
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

if t.TYPE_CHECKING:
    from cardamomloft.entry.node import EntryNode

CHUNK_REQUEST_INTERVAL = timedelta(milliseconds=100)
"""Interval between requests for missing chunks."""


class MapFetcher:
    """Fetches the map chunks of one entry.

    Parameters
    ----------
    node
        The entry, whose map loader, gossip and store are used.
    on_fault
        Called with exceptions of store reads.
    """

    def __init__(self, node: "EntryNode", on_fault: Callable[[Failure], None]) -> None:
        self._node = node
        self._on_fault = on_fault
        self._complete_revision = 0

    def complete_revision(self) -> int:
        """Return the highest revision that has been in force with a complete client-block map."""
        if not self._node.maps.missing:
            self._complete_revision = self._node.in_force
        return self._complete_revision

    def request_missing(self) -> None:
        """Request a few of the missing chunks."""
        node = self._node
        if node.router is None or not node.maps.missing:
            return
        peers = node.region_peers()
        reads_store = node.steward.stewardship.watches_configuration
        requests = node.maps.next_requests(peers, from_store=reads_store or not peers)
        node.gossip.send(requests, None)

    def read_chunk(self, digest: str) -> None:
        """Start reading one chunk from the store."""
        ensureDeferred(self._read_chunk(digest)).addErrback(self._on_fault)

    async def _read_chunk(self, digest: str) -> None:
        match await self._node.store.get(f"map/{digest}"):
            case Result(tag="ok", ok=record) if record is not None:
                self._node.maps.add_chunk(digest, record.value)
