"""Links that can be cut, and a view of the store that names a gateway's own links."""

import asyncio
import base64
import json

from http1 import read_message
from store import address_of


class Link:
    """The way from one gateway to one endpoint. A cut link refuses and resets connections."""

    def __init__(self, target):
        self.target, self.port = target, 0
        self.writers = set()
        self.server = None

    async def open(self):
        """Accept connections, at the same address each time."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.address = address_of(self.server)
        self.port = int(self.address.rpartition(":")[2])

    def cut(self):
        """Refuse connections, and reset those that are open."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        """Pass on the bytes of one connection, both ways."""
        host, _, port = self.target.rpartition(":")
        try:
            other_reader, other = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        both = {writer, other}
        self.writers |= both
        await asyncio.gather(self.copy(reader, other), self.copy(other_reader, writer))
        self.writers -= both

    async def copy(self, reader, writer):
        """Pass on bytes until one side ends."""
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class View:
    """The store as one gateway sees it: with the addresses of its own links to the endpoints."""

    def __init__(self, store):
        self.store = store
        self.links = {}

    async def start(self, targets):
        """Open a link for each endpoint's address, and serve the store."""
        for target in targets:
            self.links[target] = Link(target)
            await self.links[target].open()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = address_of(self.server)
        return self

    def cut(self):
        """Cut all links."""
        for link in self.links.values():
            link.cut()

    async def heal(self):
        """Open all links again."""
        for link in self.links.values():
            await link.open()

    def translated(self, row):
        """Return an item or event with the address of the link in place of the endpoint's."""
        if not row["key"].startswith("servers/") or row.get("removed"):
            return row
        value = json.loads(base64.b64decode(row["value"]))
        value["address"] = self.links[value["address"]].address
        return {**row, "value": base64.b64encode(json.dumps(value).encode()).decode()}

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while (req := await read_message(reader)) is not None:
                status, body = await self.store.answer(req)
                for name in ("items", "events"):
                    if name in body:
                        body = {**body, name: [self.translated(row) for row in body[name]]}
                raw = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
