"""In-process stand-in of the platform's store, which can be restored from backups of itself.

Each gateway has its own port, so that single gateways can be disconnected.
"""

import base64
import contextlib
import http.server
import json
import threading
import time
import typing as t
import urllib.parse
from collections.abc import Iterator


class Item(t.NamedTuple):
    """A stored key with its value; a lease of 0 stands for none."""

    key: str
    value: str
    revision: int
    lease: int


class Backup(t.NamedTuple):
    """The content of the store at one instant."""

    at: float
    revision: int
    items: dict[str, Item]
    leases: dict[int, float]
    next_lease: int


class RestorableStore:
    """Keys, history, leases and backups of the store, protected by the condition `changed`."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.era = 1
        self.revision = 0
        self.items: dict[str, Item] = {}
        self.events: list[tuple[int, dict[str, t.Any]]] = []
        self.leases: dict[int, float] = {}
        self.lease_ttls_s: dict[int, float] = {}
        self.next_lease = 1
        self.backups: list[Backup] = []
        self.unavailable_until = 0.0
        self.disconnected_ports: set[int] = set()
        self.calls = 0
        # Called without a lease number, this takes the initial backup.
        self._keep()

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key as JSON."""
        with self.changed:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self.changed:
            self._remove(key)

    def restore(self, age_s: float, outage_s: float) -> None:
        """Restore the newest backup of at least that age, and be unavailable for `outage_s`."""
        with self.changed:
            instant = time.monotonic() - age_s
            backup = next((b for b in reversed(self.backups) if b.at <= instant), self.backups[0])
            self.era += 1
            self.revision, self.items = backup.revision, dict(backup.items)
            self.leases, self.next_lease = dict(backup.leases), backup.next_lease
            now = time.monotonic()
            self.leases = {lease: now + self.lease_ttls_s[lease] for lease in self.leases}
            self.events = [row for row in self.events if row[0] <= self.revision]
            self.backups = [b for b in self.backups if b.revision <= self.revision]
            self.unavailable_until = now + outage_s
            self.changed.notify_all()

    def expire_leases(self) -> None:
        """End expired leases."""
        with self.changed:
            now = time.monotonic()
            for lease in [lease for lease, until in self.leases.items() if until < now]:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys; return whether the lease existed."""
        existed = self.leases.pop(lease, None) is not None
        for key in [item.key for item in self.items.values() if item.lease == lease]:
            self._remove(key)
        return existed

    def answer(self, method: str, path: str, query: dict[str, str], body: t.Any) -> t.Any:
        """Return the status and body of an answer, or None to close the connection without one.

        A call of ``/v1/kv-NAME`` is handled by the method ``_NAME``.
        """
        with self.changed:
            self.calls += 1
            name, _, number = path.removeprefix("/v1/kv-").partition("/")
            return getattr(self, "_" + name.replace("-", "_"))(query, body, int(number or 0))

    def _range(self, query, body, number):
        after, prefix = query.get("after", ""), query["prefix"]
        found = [
            i for i in sorted(self.items.values()) if i.key.startswith(prefix) and i.key > after
        ]
        items = [item._asdict() for item in found]
        return 200, {"items": items, "truncated": False, "asOf": self.revision}

    def _watch(self, query, body, number):
        after, era = int(query["after"]), self.era
        until = time.monotonic() + int(query["waitMs"]) / 1000
        if after > self.revision:
            return 410, {}
        while self.era == era and self.revision <= after and time.monotonic() < until:
            self.changed.wait(max(0.0, until - time.monotonic()))
        if self.era != era:
            return None
        events = [event for revision, event in self.events if revision > after]
        return 200, {"events": events, "asOf": self.revision}

    def _txn(self, query, body, number):
        if any(put["lease"] and put["lease"] not in self.leases for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self._put(put["key"], put["value"], put["lease"])
        return 200, {"revision": self.revision}

    def _lease(self, query, body, number):
        ttl_s = int(body["ttl_time"].removesuffix("ms")) / 1000
        lease, self.next_lease = self.next_lease, self.next_lease + 1
        self.lease_ttls_s[lease] = ttl_s
        self.leases[lease] = time.monotonic() + ttl_s
        return 200, {"lease": lease, "ttl_time": body["ttl_time"]}

    def _keep(self, query=None, body=None, number=0):
        if not number:
            self._take_backup()
            return None
        if number not in self.leases:
            return 404, {}
        self.leases[number] = time.monotonic() + self.lease_ttls_s[number]
        return 200, {}

    def _lease_end(self, query, body, number):
        return (200, {}) if self.end_lease(number) else (404, {})

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        self.items[key] = item = Item(key, value, self.revision, lease)
        self._append_event(item._asdict())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "removed": True})

    def _append_event(self, event: dict[str, t.Any]) -> None:
        self.events.append((self.revision, event))
        self._take_backup()
        self.changed.notify_all()

    def _take_backup(self) -> None:
        state = (dict(self.items), dict(self.leases), self.next_lease)
        self.backups.append(Backup(time.monotonic(), self.revision, *state))


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 40

    def _call(self) -> None:
        store: RestorableStore = self.server.store
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        if self._is_unreachable(store):
            self.close_connection = True
            return
        path, _, query = self.path.partition("?")
        answer = store.answer(self.command, path, dict(urllib.parse.parse_qsl(query)), body)
        if answer is None or self._is_unreachable(store):
            self.close_connection = True
            return
        status, content = answer
        raw = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(raw)))
        self.send_header("Store-Era", str(store.era))
        self.end_headers()
        self.wfile.write(raw)

    do_GET = do_POST = do_DELETE = _call  # noqa: N815

    def _is_unreachable(self, store: RestorableStore) -> bool:
        return (
            time.monotonic() < store.unavailable_until
            or self.server.server_port in store.disconnected_ports
        )

    def log_message(self, *args: t.Any) -> None:
        """Write no access log."""


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, store: RestorableStore) -> None:
        self.store = store
        super().__init__(("127.0.0.1", 0), _Handler)

    def handle_error(self, request: t.Any, client_address: t.Any) -> None:
        """Ignore errors of connections, since gateways close and lose them during the tests."""


@contextlib.contextmanager
def serve(store: RestorableStore, count: int) -> Iterator[list[int]]:
    """Serve the store on `count` ports, and yield their numbers."""
    servers = [_Server(store) for _ in range(count)]
    stop = threading.Event()

    def expire_leases() -> None:
        while not stop.wait(0.1):
            store.expire_leases()

    for target in (*(server.serve_forever for server in servers), expire_leases):
        threading.Thread(target=target, daemon=True).start()
    try:
        yield [server.server_port for server in servers]
    finally:
        stop.set()
        for server in servers:
            server.shutdown()
            server.server_close()
