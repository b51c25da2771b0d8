"""Loads the client-block map in chunks and serves its chunks to peers.

The document names the map's chunks by digest. Stewards and standbys read missing chunks from the
store; other entries request them from peers in their region. After a change of a few blocks, each
entry loads only the changed chunks, and the store serves only a few reads per region. Until a chunk
arrives, its blocks map to the default site, which affects only callers' latency.
"""

import random
from collections.abc import Callable, Collection, Sequence

from cardamomloft.core.blocks import BlockMap
from cardamomloft.core.chunks import digest_of
from cardamomloft.core.document import ClientsRow
from cardamomloft.core.messages import ChunkReply, ChunkRequest, Outgoing
from cardamomloft.runtime.logs import log
from expression import Result

CHUNKS_PER_REQUEST_ROUND = 2
"""Chunks requested at each call of :meth:`MapLoader.next_requests`."""


class MapLoader:
    """The client-block map of one entry while its chunks are being loaded.

    Parameters
    ----------
    rng
        Chooses the chunks and the peers for requests.
    read
        Starts reading one chunk from the store; the result is passed to :meth:`add_chunk`.
    on_map
        Called with each new map, complete or not.

    Attributes
    ----------
    map
        The map built from the chunks loaded so far.
    """

    def __init__(
        self,
        rng: random.Random,
        read: Callable[[str], None],
        on_map: Callable[[BlockMap], None],
    ) -> None:
        self.map = BlockMap("")
        self._rng = rng
        self._read = read
        self._on_map = on_map
        self._wanted: tuple[str, ...] = ()
        self._chunks: dict[str, bytes] = {}

    @property
    def missing(self) -> tuple[str, ...]:
        """The digests of the chunks that have not been loaded."""
        return self.map.missing(self._wanted)

    def configure(self, clients: ClientsRow) -> BlockMap:
        """Start loading the map of a new document; return the map of the chunks loaded so far."""
        self._wanted = tuple(clients.get("chunks", ()))
        self._chunks = {
            digest: self._chunks[digest] for digest in self._wanted if digest in self._chunks
        }
        if not self._wanted:
            self.map = BlockMap.from_blocks(clients.get("blocks", {}), clients["default"])
        else:
            self.map = self._with_chunks(self._loaded_digests(), clients["default"])
        return self.map

    def next_requests(self, peers: Sequence[str], *, from_store: bool) -> list[Outgoing]:
        """Request a few missing chunks; call it several times a second.

        No reply is awaited: a chunk that does not arrive is requested again, from random peers.
        """
        missing = self.missing
        if not missing:
            return []
        digests = self._rng.sample(missing, min(CHUNKS_PER_REQUEST_ROUND, len(missing)))
        if from_store:
            for digest in digests:
                self._read(digest)
            return []
        if not peers:
            return []
        return [Outgoing(self._rng.choice(peers), ChunkRequest(digest)) for digest in digests]

    def on_request(self, seat: str, req: ChunkRequest) -> list[Outgoing]:
        """Return the reply to a peer's request, or nothing if the chunk is not loaded."""
        chunk = self._chunks.get(req.digest)
        return [] if chunk is None else [Outgoing(seat, ChunkReply(req.digest, chunk))]

    def add_chunk(self, digest: str, chunk: bytes) -> None:
        """Add a chunk from the store or a peer; ignore it if not missing or not of that digest."""
        if digest not in self.missing or digest_of(chunk) != digest:
            return
        self._chunks[digest] = chunk
        self.map = self._with_chunks([*self._loaded_digests(), digest], self.map.default)
        self._on_map(self.map)

    def _loaded_digests(self) -> list[str]:
        missing = set(self.missing)
        return [digest for digest in self._wanted if digest not in missing]

    def _with_chunks(self, digests: Collection[str], default: str) -> BlockMap:
        match self.map.with_chunks(list(digests), self._chunks, default=default):
            case Result(tag="ok", ok=blocks):
                return blocks
            case Result(error=mistake):
                log("map-refused", detail=str(mistake))
                return self.map
