"""HTTP/1.1 messages over asyncio streams, for the stand-ins and clients of the cases."""

import asyncio
import typing as t


class Message(t.NamedTuple):
    """A request or an answer: for an answer, `method` is the version and `target` the status."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader) -> Message | None:
    """Read a head; None if the connection ends before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    first, *lines = raw[:-4].decode("latin-1").split("\r\n")
    method, target = first.split(" ")[:2]
    pairs = (line.split(":", 1) for line in lines)
    return Message(method, target, {n.lower(): v.strip() for n, v in pairs}, b"")


async def read_body(reader, head: Message) -> bytes:
    """Read the body that a head announces, with a length or in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


async def read_message(reader) -> Message | None:
    """Read a head with its body; None if the connection has ended."""
    head = await read_head(reader)
    return head and head._replace(body=await read_body(reader, head))
