"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import contextlib
import itertools
import json
from urllib.parse import parse_qs, urlsplit

from http1 import Message, read_message


def address_of(server):
    """Return the address of a listening server as ``ip:port``."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class Store:
    """Items, leases and watches in memory, served over HTTP/1.1 on loopback."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.numbers = itertools.count(1000)
        self.changed = asyncio.Event()
        self.address = ""
        self.writers = set()
        self.server = None

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = address_of(self.server)
        self.expiry = asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease in [n for n, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    def put(self, key, value, lease=0):
        """Write an item; `value` is bytes or anything JSON can state."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.note(item)

    def remove(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "removed": True})

    def note(self, event):
        """Add an event to the history, and wake the watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def txn(self, body):
        """Return the status and the body of the answer to a change under a condition."""
        rows = body.get("expect", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((current[r["key"]] or {"revision": 0})["revision"] != r["revision"] for r in rows):
            return 412, {"items": [item for item in current.values() if item]}
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def answer(self, req: Message):
        """Return the status and the body of the answer to a call."""
        url = urlsplit(req.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path, now = url.path, asyncio.get_running_loop().time()
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            items = [self.items[k] for k in keys[:500]]
            return 200, {"items": items, "truncated": len(keys) > 500, "asOf": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        body = json.loads(req.body or b"{}")
        if path == "/v1/kv-txn":
            return self.txn(body)
        if path == "/v1/kv-lease":
            ttl, lease = body["ttl_time"], next(self.numbers)
            seconds = float(ttl[:-2]) / 1000 if ttl.endswith("ms") else float(ttl[:-1])
            self.leases[lease] = (seconds, now + seconds)
            return 200, {"lease": lease, "ttl_time": ttl}
        number = int(path.rpartition("/")[2])
        if path.startswith("/v1/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            seconds = self.leases[number][0]
            self.leases[number] = (seconds, now + seconds)
            return 200, {"ttl_time": f"{round(seconds * 1000)}ms"}
        return (200, {}) if self.end_lease(number) else (404, {})

    async def watch(self, query):
        """Answer once there is an event, or after the wait."""
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        after, prefix = int(query["after"]), query.get("prefix", "")
        while True:
            signal = self.changed
            found = [e for e in self.history if e["revision"] > after]
            found = [e for e in found if e["key"].startswith(prefix)]
            left = until - loop.time()
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(signal.wait(), left)

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (req := await read_message(reader)) is not None:
                status, body = await self.answer(req)
                raw = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
