"""Callers that keep their connections to the gateways of a :class:`LinkFleet` while they can."""

import contextlib
import http.client
import random
import socket
import threading
import time
import typing as t

from cardamomloft_standins import endpoints
from cardamomloft_standins.linkfleet import LinkFleet
from cardamomloft_standins.linkhistory import Result

PAUSE_S = 0.05
"""Time between an answer and the next request, in seconds."""

ANSWER_TIMEOUT_S = 5.0

UPLOAD = b"0123456789" * 20_000
UPLOAD_PARTS = 10
UPLOAD_PAUSE_S = 0.05
"""Time between two parts of an upload, in seconds."""


class KeepingCaller(threading.Thread):
    """Sends requests one after the other on a connection that it keeps while it can.

    Parameters
    ----------
    fleet
        The gateways, of which one is drawn for each connection.
    prefix
        Prefix of the paths, each of which is used once.
    deadline
        Time for each answer, in seconds.
    seed
        Source of the draws.
    """

    def __init__(self, fleet: LinkFleet, prefix: str, deadline: float, seed: str) -> None:
        super().__init__(daemon=True)
        self.results: list[Result] = []
        self.stopped = threading.Event()
        self.rng = random.Random(seed)
        self._fleet = fleet
        self._prefix = prefix
        self._deadline = deadline
        self._sent = 0
        self._gateway = ""
        self._conn: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send until the event `stopped` is set."""
        while not self.stopped.is_set():
            self.send()
            time.sleep(PAUSE_S)

    def send(self) -> None:
        """Send a request, and record its result."""
        path, at = self.next_path(), time.monotonic()
        status = self._exchange(path)
        self.record(path, at, status)

    def next_path(self) -> str:
        """Return a path that was not used before."""
        self._sent += 1
        return f"{self._prefix}/{self._sent}"

    def next_gateway(self) -> str:
        """Draw the gateway of the next connection, and return its address."""
        cfg = self.rng.choice(self._fleet.settings)
        self._gateway = cfg["name"]
        return cfg["callers"]

    def headers(self, path: str) -> dict[str, str]:
        """Return the headers of a request."""
        deadline = str(int(self._deadline * 1000))
        return {"Host": endpoints.HOST, "X-Request-Id": path, "X-Deadline-Ms": deadline}

    def record(self, path: str, at: float, status: int) -> None:
        """Record the status of a request that was sent at a time."""
        self.results.append(Result(self._gateway, path, at, self._deadline, status))

    def write(self, conn: http.client.HTTPConnection, path: str) -> None:
        """Write a request."""
        conn.request("GET", path, headers=self.headers(path))

    def _exchange(self, path: str) -> int:
        if self._conn is None:
            self._conn = http.client.HTTPConnection(self.next_gateway(), timeout=ANSWER_TIMEOUT_S)
        try:
            self.write(self._conn, path)
            answer = self._conn.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            self._conn.close()
            self._conn = None
            return 0
        if answer.will_close:
            self._conn = None
        return answer.status


class UploadingCaller(KeepingCaller):
    """Sends bodies of 200 KB in parts, with a pause after each."""

    def write(self, conn: http.client.HTTPConnection, path: str) -> None:
        """Write a request and its body."""
        conn.putrequest("POST", path, skip_host=True, skip_accept_encoding=True)
        for name, value in self.headers(path).items():
            conn.putheader(name, value)
        conn.putheader("Content-Length", str(len(UPLOAD)))
        conn.endheaders()
        size = len(UPLOAD) // UPLOAD_PARTS
        # The answer may come before the end of the body.
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(UPLOAD), size):
                conn.send(UPLOAD[start : start + size])
                time.sleep(UPLOAD_PAUSE_S)


class PipeliningCaller(KeepingCaller):
    """Sends two or three requests at once, and uses its connection until that is closed."""

    _stream: t.BinaryIO | None = None
    _socket: socket.socket | None = None

    def send(self) -> None:
        """Send some requests, and record their results."""
        at = time.monotonic()
        paths = [self.next_path() for _ in range(self.rng.randint(2, 3))]
        answered = 0
        try:
            self._write(paths)
            for path in paths:
                status = self._read()
                self.record(path, at, status)
                answered += 1
        except (OSError, http.client.HTTPException, ValueError):
            self._close()
            for path in paths[answered:]:
                self.record(path, at, 0)

    def _write(self, paths: list[str]) -> None:
        if self._socket is None:
            host, _, port = self.next_gateway().rpartition(":")
            self._socket = socket.create_connection((host, int(port)), ANSWER_TIMEOUT_S)
            self._stream = self._socket.makefile("rb")
        for path in paths:
            lines = [f"{name}: {value}\r\n" for name, value in self.headers(path).items()]
            self._socket.sendall(f"GET {path} HTTP/1.1\r\n{''.join(lines)}\r\n".encode())

    def _read(self) -> int:
        """Read an answer with a length, and return its status."""
        line = self._stream.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the connection was closed")
        length = int(http.client.parse_headers(self._stream)["Content-Length"])
        if len(self._stream.read(length)) < length:
            raise ConnectionError("the connection was closed")
        return int(line.split()[1])

    def _close(self) -> None:
        if self._socket is not None:
            self._stream.close()
            self._socket.close()
        self._socket = self._stream = None
