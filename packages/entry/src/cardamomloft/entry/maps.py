"""Fetching the client-block map, chunk by chunk, and serving its chunks to peers.

The document names the map's chunks by digest. Stewards and standbys read missing ones from the
store, all others from peers of their region, so a change of a few blocks costs each entry the
chunks it touches and the store a few reads per region. Until a chunk has come, its blocks lead to
the default site, which costs a caller latency and nothing else.
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


class MapLoader:
    """The map of one entry, and what is missing of the one that is wanted.

    Parameters
    ----------
    rng
        Chooses whom to ask.
    read
        Begins to read one chunk from the store; its bytes come to :meth:`add_chunk`.
    on_map
        Told of each new map, complete or not.

    Attributes
    ----------
    map
        The map as far as it is loaded.
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
        self._kept: dict[str, bytes] = {}

    @property
    def missing(self) -> tuple[str, ...]:
        """The digests of the chunks that have not come yet."""
        return self.map.missing(self._wanted)

    def configure(self, clients: ClientsRow) -> BlockMap:
        """Want the map of a new document; return what there is of it at once."""
        self._wanted = tuple(clients.get("chunks", ()))
        self._kept = {digest: self._kept[digest] for digest in self._wanted if digest in self._kept}
        if not self._wanted:
            self.map = BlockMap.from_blocks(clients.get("blocks", {}), clients["default"])
        else:
            self.map = self._with(self._present(), clients["default"])
        return self.map

    def next_requests(self, peers: Sequence[str], *, from_store: bool) -> list[Outgoing]:
        """Ask for a few missing chunks; call it a few times a second.

        Nobody is waited for: a chunk that does not come is asked for again, of others.
        """
        missing = self.missing
        if not missing:
            return []
        chosen = self._rng.sample(missing, min(CHUNKS_PER_REQUEST_ROUND, len(missing)))
        if from_store:
            for digest in chosen:
                self._read(digest)
            return []
        if not peers:
            return []
        return [Outgoing(self._rng.choice(peers), ChunkRequest(digest)) for digest in chosen]

    def on_request(self, seat: str, req: ChunkRequest) -> list[Outgoing]:
        """Answer a peer, if the chunk is here."""
        chunk = self._kept.get(req.digest)
        return [] if chunk is None else [Outgoing(seat, ChunkReply(req.digest, chunk))]

    def add_chunk(self, digest: str, chunk: bytes) -> None:
        """Take a chunk from the store or a peer; one that is not wanted or forged is dropped."""
        if digest not in self.missing or digest_of(chunk) != digest:
            return
        self._kept[digest] = chunk
        self.map = self._with([*self._present(), digest], self.map.default)
        self._on_map(self.map)

    def _present(self) -> list[str]:
        missing = set(self.missing)
        return [digest for digest in self._wanted if digest not in missing]

    def _with(self, digests: Collection[str], default: str) -> BlockMap:
        match self.map.with_chunks(list(digests), self._kept, default=default):
            case Result(tag="ok", ok=made):
                return made
            case Result(error=mistake):
                log("map-refused", detail=str(mistake))
                return self.map
