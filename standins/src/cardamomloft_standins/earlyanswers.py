"""An endpoint that answers uploads before it has read them, and reads on from its connections.

Each request states in its headers how it is answered; a request without them is read, then
answered.
"""

import contextlib
import hashlib
import http.client
import itertools
import socket
import threading
import time
import typing as t
from collections.abc import Iterator, Mapping

READ_BYTES = 64 * 1024

READ_TIMEOUT_S = 20.0
"""Time that the endpoint waits for the next bytes of a body, in seconds."""

FRAMINGS = ("length", "chunked", "none")
"""How an answer ends: after its length, after its last chunk, or with its head."""

_sequence = itertools.count(1)


class Plan(t.NamedTuple):
    """How an endpoint answers one upload.

    Attributes
    ----------
    after
        Bytes of the body after which it answers.
    pause
        Time in seconds between the answer and the rest of the body.
    step
        Pause in seconds before each further read.
    status
        Status of the answer.
    framing
        One of `FRAMINGS`.
    size
        Bytes of the answer's body.
    half_close
        Whether the endpoint closes its side of the connection after its answer.
    leave
        Whether it closes the connection after its answer, and reads no more.
    """

    after: int = 0
    pause: float = 0.0
    step: float = 0.0
    status: int = 200
    framing: str = "length"
    size: int = 2
    half_close: bool = False
    leave: bool = False

    def headers(self) -> dict[str, str]:
        """Return the headers that state the plan."""
        return {f"X-Plan-{name}": str(value) for name, value in self._asdict().items()}


class Upload(t.NamedTuple):
    """What an endpoint has got of one upload.

    `ended` is the time of ``time.monotonic`` at which it had the last byte, or saw that there are
    no more.
    """

    name: str
    announced: int | None
    received: int
    sha256: str
    whole: bool
    ended: float


class EarlyEndpoint:
    """Listens until `close`.

    Attributes
    ----------
    uploads
        The bodies that have ended.
    answered
        The names of the requests that were answered.
    left
        The names of the uploads whose connections were closed after the answer.
    connections
        Number of connections that were accepted.
    """

    def __init__(self) -> None:
        self.name = f"i-early-{next(_sequence)}"
        self.uploads: list[Upload] = []
        self.answered: list[str] = []
        self.left: list[str] = []
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def upload(self, name: str) -> Upload | None:
        """Return what has arrived of the upload `name` if it has ended."""
        return next((one for one in self.uploads if one.name == name), None)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(READ_TIMEOUT_S)
        with conn, conn.makefile("rb", READ_BYTES) as stream, contextlib.suppress(OSError):
            while (line := stream.readline()).strip():
                headers = http.client.parse_headers(stream)
                if not self._handle(conn, stream, line, headers):
                    return

    def _handle(
        self, conn: socket.socket, stream: t.Any, line: bytes, headers: Mapping[str, str]
    ) -> bool:
        """Read a request and answer it; return whether another may follow."""
        name, plan = headers.get("X-Request-Id", ""), _plan_of(headers)
        length = headers.get("Content-Length")
        announced = None if length is None else int(length)
        if announced is None and "Transfer-Encoding" not in headers:
            announced = 0
        read = _read_chunks(stream) if announced is None else _read_length(stream, announced)
        hasher, received, answered, whole = hashlib.sha256(), 0, False, True
        try:
            for data in read:
                hasher.update(data)
                received += len(data)
                if plan is None:
                    continue
                if answered:
                    time.sleep(plan.step)
                elif received >= plan.after:
                    answered = self._answer(conn, plan, name)
                    time.sleep(plan.pause)
        except (OSError, EOFError):
            whole = False
        if announced != 0:
            digest = hasher.hexdigest()
            ended = time.monotonic()
            self.uploads.append(Upload(name, announced, received, digest, whole, ended))
        if whole and not answered:
            self._answer(conn, plan or Plan(), name)
        leaves = plan is not None and (plan.leave or plan.half_close)
        return whole and not leaves

    def _answer(self, conn: socket.socket, plan: Plan, name: str) -> bool:
        body = b"x" * (0 if plan.framing == "none" else plan.size)
        head = f"HTTP/1.1 {plan.status} Early\r\nX-Request-Id: {name}\r\n".encode()
        if plan.framing == "length":
            head += b"Content-Length: %d\r\n" % len(body)
        elif plan.framing == "chunked":
            head += b"Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        self.answered.append(name)
        conn.sendall(head + b"\r\n" + body)
        if plan.leave:
            self.left.append(name)
            conn.close()
            raise ConnectionAbortedError
        if plan.half_close:
            conn.shutdown(socket.SHUT_WR)
        return True


def _plan_of(headers: Mapping[str, str]) -> Plan | None:
    """Return the plan that a request states, or None."""
    if "X-Plan-After" not in headers:
        return None
    values = {}
    for name, default in Plan()._asdict().items():
        text = headers[f"X-Plan-{name}"]
        values[name] = text == "True" if isinstance(default, bool) else type(default)(text)
    return Plan(**values)


def _read_length(stream: t.Any, size: int) -> Iterator[bytes]:
    left = size
    while left:
        data = stream.read1(min(left, READ_BYTES))
        if not data:
            raise EOFError
        left -= len(data)
        yield data


def _read_chunks(stream: t.Any) -> Iterator[bytes]:
    while size := int(_read_line(stream), 16):
        yield from _read_length(stream, size)
        _read_line(stream)
    _read_line(stream)


def _read_line(stream: t.Any) -> bytes:
    line = stream.readline()
    if not line.endswith(b"\n"):
        raise EOFError
    return line
