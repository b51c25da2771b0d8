"""The command ``publish``: a large client-block map, kept in the store as chunks."""

from cardamomloft.core.blocks import BlockMap, block_mistakes
from cardamomloft.core.checking import load_json
from cardamomloft.core.chunks import Chunk
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome, unavailable
from cardamomloft.operators.session import Session
from cardamomloft.store.keyvalue import Store
from expression import Error, Ok, Result


async def publish(session: Session, text: str, default: str) -> Result[Outcome, Failure]:
    """Write the chunks that the store lacks, and show the ``clients`` part that names them.

    A chunk's key is the digest of its bytes, so writing one twice changes nothing, and a change of
    a few blocks writes the few chunks that hold them.
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
    session.console.say(f"{len(chunks)} chunks, {written} of them new in the store")
    return Ok(Outcome(ExitCode.OK, {"clients": clients, "written": written}))


def _read_map(text: str, default: str) -> Result[tuple[Chunk, ...], Failure]:
    match load_json(text):
        case Result(tag="error", error=mistakes):
            return Error(_refused(tuple(str(mistake) for mistake in mistakes)))
        case Result(ok=raw):
            pass
    if not isinstance(raw, dict) or not all(isinstance(site, str) for site in raw.values()):
        return Error(_refused(("an object from block to site is expected",)))
    faults = tuple(str(mistake) for mistake in block_mistakes((), raw))
    if faults:
        return Error(_refused(faults))
    return Ok(BlockMap.from_blocks(raw, default).pack())


def _refused(lines: tuple[str, ...]) -> Failure:
    return Failure(ExitCode.REFUSED, "not a client-block map", lines)


async def _write(store: Store, chunk: Chunk) -> Result[int, str]:
    """Create one chunk; return 1 if it was new. A lost answer is settled by reading."""
    key = f"map/{chunk.digest}"
    match await store.compare_and_swap(key, chunk.data, 0):
        case Result(tag="ok", ok=made):
            return Ok(int(made))
        case Result(error=failure) if not failure.ambiguous:
            return Error(failure.detail)
    match await store.get(key):
        case Result(tag="ok", ok=record) if record is not None:
            return Ok(1)
    return Error("the answer to a write was lost; run the command again")
