"""Asking for the missing chunks of the client-block map, of the store or of peers."""

import typing as t
from collections.abc import Callable
from datetime import timedelta

from expression import Result
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

if t.TYPE_CHECKING:
    from cardamomloft.entry.node import EntryNode

CHUNK_REQUEST_INTERVAL = timedelta(milliseconds=100)
"""How often missing chunks are asked for."""


class MapFetcher:
    """Fetches for one entry.

    Parameters
    ----------
    node
        The entry.
    on_fault
        Told of exceptions.
    """

    def __init__(self, node: "EntryNode", on_fault: Callable[[Failure], None]) -> None:
        self._node = node
        self._on_fault = on_fault
        self._complete = 0

    def complete_revision(self) -> int:
        """Return the highest revision in force here with all of its client-block map."""
        if not self._node.maps.missing:
            self._complete = self._node.in_force
        return self._complete

    def fetch(self) -> None:
        """Ask for some of what is missing."""
        node = self._node
        if node.router is None or not node.maps.missing:
            return
        peers = node.near_seats()
        watching = node.steward.stewardship.watches_configuration
        asked = node.maps.next_requests(peers, from_store=watching or not peers)
        node.gossip.send(asked, None)

    def read(self, digest: str) -> None:
        """Begin to read one chunk from the store."""
        ensureDeferred(self._read(digest)).addErrback(self._on_fault)

    async def _read(self, digest: str) -> None:
        match await self._node.store.get(f"map/{digest}"):
            case Result(tag="ok", ok=record) if record is not None:
                self._node.maps.add_chunk(digest, record.value)
