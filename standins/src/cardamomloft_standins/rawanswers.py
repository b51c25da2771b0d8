"""A server that answers with bytes as they are given, valid or not, and a client that reads bytes.

Tests use them where the HTTP libraries would correct or reject what is sent.
"""

import contextlib
import itertools
import os
import socket
import struct
import threading
import time
import typing as t
from collections.abc import Iterator

READ_BYTES = 64 * 1024

TIMEOUT_S = 20.0
"""Time that the server waits for bytes of a request, and the client for bytes of an answer."""

MAX_REPLY_BYTES = 4 * 1024 * 1024
"""Bytes of an answer after which the client stops reading."""

UPLOAD_PARTS = 20
"""Number of parts in which the client sends a body."""

MAX_ENDLESS_S = 8.0
"""Time after which an endless answer ends nevertheless, in seconds."""

CLOSE, RESET, KEEP = "close", "reset", "keep"
"""What becomes of a connection after an answer."""

_RESET = struct.pack("ii", 1, 0)

_sequence = itertools.count(1)


class Script(t.NamedTuple):
    """How the server answers one request.

    Attributes
    ----------
    data
        The answer. ``{id}`` stands for the id of the request.
    after
        Bytes of the request's body after which the server answers; None to read it whole.
    pause
        Time in seconds between the answer and what becomes of the connection.
    late
        Sent after the pause.
    end
        `CLOSE`, `RESET` or `KEEP`.
    endless
        Sent again and again after the answer, until the client closes.
    """

    data: bytes
    after: int | None = None
    pause: float = 0.0
    late: bytes = b""
    end: str = CLOSE
    endless: bytes = b""


class RawServer:
    """Listens until `close`.

    Parameters
    ----------
    default
        How requests without a script are answered.
    id_field
        Name of the field of requests with their id.

    Attributes
    ----------
    name
        Its id as an endpoint.
    scripts
        How requests are answered by their path, without the query.
    default
        How all others are answered; see above.
    requests
        The paths of the requests that it got.
    kept
        The paths of those that were not the first on their connection.
    connections
        Number of connections that it accepted.
    open_connections
        Number of those that it has not closed.
    endless_bytes
        Number of bytes of endless answers that it has sent.
    """

    def __init__(self, default: Script, id_field: str = "x-request-id") -> None:
        self.name = f"i-raw-{next(_sequence)}"
        self.scripts: dict[str, Script] = {}
        self.default = default
        self._id_field = id_field.lower().encode()
        self.requests: list[str] = []
        self.kept: set[str] = set()
        self.connections = self.open_connections = 0
        self.endless_bytes = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                self.open_connections += 1
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(TIMEOUT_S)
        with conn, contextlib.suppress(OSError):
            is_first = True
            while self._handle(conn, is_first):
                is_first = False
        self.open_connections -= 1

    def _handle(self, conn: socket.socket, is_first: bool) -> bool:
        """Answer one request; return whether another may follow."""
        received = b""
        while b"\r\n\r\n" not in received:
            data = conn.recv(READ_BYTES)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        target = head.split(b" ")[1].decode("latin-1")
        self.requests.append(target)
        if not is_first:
            self.kept.add(target)
        script = self.scripts.get(target.partition("?")[0], self.default)
        _read_body(conn, head, body, script.after)
        request_id = _field(head, self._id_field)
        conn.sendall(script.data.replace(b"{id}", request_id))
        end = time.monotonic() + MAX_ENDLESS_S
        while script.endless and time.monotonic() < end:
            self.endless_bytes += conn.send(script.endless)
        time.sleep(script.pause)
        conn.sendall(script.late)
        if script.end == CLOSE and script.after is not None:
            # A close with bytes unread resets the connection; without any it would be a clean end.
            conn.recv(1, socket.MSG_PEEK)
        if script.end == RESET:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        return script.end == KEEP


def _read_body(conn: socket.socket, head: bytes, begun: bytes, limit: int | None) -> None:
    """Read a body, or about `limit` bytes of it."""
    chunked = _field(head, b"transfer-encoding") == b"chunked"
    size = int(_field(head, b"content-length") or 0)
    received, last = len(begun), begun[-5:]
    while limit is None or received < limit:
        if (chunked and last == b"0\r\n\r\n") or (not chunked and received >= size):
            return
        data = conn.recv(READ_BYTES)
        if not data:
            return
        received, last = received + len(data), (last + data)[-5:]


def _field(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.strip().lower() == name:
            return value.strip()
    return b""


@contextlib.contextmanager
def raw_server(default: Script, id_field: str = "x-request-id") -> Iterator[RawServer]:
    """Run a server until the end of the with-block."""
    server = RawServer(default, id_field)
    try:
        yield server
    finally:
        server.close()


class RawReply(t.NamedTuple):
    """What a client received until the end of its connection.

    `reset` tells that the connection was reset.
    """

    data: bytes
    reset: bool

    @property
    def status(self) -> bytes:
        """The status code of the first line, as it was sent; empty if there is none."""
        return b"".join(self.data.partition(b"\r\n")[0].split(b" ")[1:2])

    def field(self, name: str) -> str:
        """Return the value of a field of the head, or an empty string."""
        return _field(self.data.partition(b"\r\n\r\n")[0], name.lower().encode()).decode()

    @property
    def complete(self) -> bool:
        """Whether the body ends as its head has announced it."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        if _field(head, b"transfer-encoding") == b"chunked":
            return not self.reset and body.endswith(b"0\r\n\r\n")
        length = _field(head, b"content-length")
        return bool(length) and len(body) == int(length)


def read_reply(conn: socket.socket) -> RawReply:
    """Read until the connection ends, or there are more bytes than `MAX_REPLY_BYTES`."""
    conn.settimeout(TIMEOUT_S)
    received, reset = bytearray(), False
    try:
        while len(received) <= MAX_REPLY_BYTES and (data := conn.recv(READ_BYTES)):
            received += data
    except ConnectionResetError:
        reset = True
    return RawReply(bytes(received), reset)


def send_body(conn: socket.socket, size: int, *, chunked: bool, pause: float) -> None:
    """Send a body in twenty parts with a pause after each, until the other side closes."""
    part = os.urandom(size // UPLOAD_PARTS)
    data = b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
    with contextlib.suppress(OSError):
        for _ in range(UPLOAD_PARTS):
            conn.sendall(data)
            time.sleep(pause)
        if chunked:
            conn.sendall(b"0\r\n\r\n")


def exchange_upload(
    conn: socket.socket, head: bytes, size: int, *, chunked: bool, pause: float
) -> RawReply:
    """Send a request with a body, and read its answer beside that."""
    conn.sendall(head)
    options = {"chunked": chunked, "pause": pause}
    sender = threading.Thread(target=send_body, args=(conn, size), kwargs=options)
    sender.start()
    reply = read_reply(conn)
    sender.join()
    return reply
