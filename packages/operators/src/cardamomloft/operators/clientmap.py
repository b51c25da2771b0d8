"""The command ``publish``, which writes a client-block map to the store in chunks."""

from cardamomloft.core.blocks import BlockMap, block_mistakes
from cardamomloft.core.chunks import Chunk
from cardamomloft.core.typedjson import load_json
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome, unavailable
from cardamomloft.operators.session import Session
from cardamomloft.store.keyvalue import Store
from expression import Error, Ok, Result


async def publish(session: Session, text: str, default: str) -> Result[Outcome, Failure]:
    """Write the chunks that the store lacks, and return the ``clients`` table that refers to them.

    Chunks are content-addressed: the key is the digest of the data. Writes are idempotent, and a
    change of a few blocks writes only the chunks that contain them.
    """
    match _read_map(text, default):
        case Result(tag="error", error=failure):
            return Error(failure)
        case Result(ok=chunks):
            pass
    if session.store is None:
        return Error(unavailable("no --store was given"))
    written = 0
    for chunk in chunks:
        match await _write(session.store, chunk):
            case Result(tag="error", error=detail):
                return Error(unavailable(f"after {written} new chunks: {detail}"))
            case Result(ok=new):
                written += new
    clients = {"default": default, "chunks": [chunk.digest for chunk in chunks]}
    session.console.info(f"{len(chunks)} chunks, {written} of them new in the store")
    return Ok(Outcome(ExitCode.OK, {"clients": clients, "written": written}))


def _read_map(text: str, default: str) -> Result[tuple[Chunk, ...], Failure]:
    match load_json(text):
        case Result(tag="error", error=mistakes):
            return Error(_invalid_map(tuple(str(mistake) for mistake in mistakes)))
        case Result(ok=raw):
            pass
    if not isinstance(raw, dict) or not all(isinstance(site, str) for site in raw.values()):
        return Error(_invalid_map(("an object from block to site is expected",)))
    faults = tuple(str(mistake) for mistake in block_mistakes((), raw))
    if faults:
        return Error(_invalid_map(faults))
    return Ok(BlockMap.from_blocks(raw, default).pack())


def _invalid_map(lines: tuple[str, ...]) -> Failure:
    return Failure(ExitCode.REFUSED, "not a client-block map", lines)


async def _write(store: Store, chunk: Chunk) -> Result[int, str]:
    """Create one chunk and return 1 if it was new, else 0.

    After a write without an answer, the chunk is read to find out whether it was written.
    """
    key = f"map/{chunk.digest}"
    match await store.compare_and_swap(key, chunk.data, 0):
        case Result(tag="ok", ok=created):
            return Ok(int(created))
        case Result(error=failure) if not failure.ambiguous:
            return Error(failure.detail)
    match await store.get(key):
        case Result(tag="ok", ok=record) if record is not None:
            return Ok(1)
    return Error("the answer to a write was lost; run the command again")
