"""Threaded HTTP endpoints inside the test process, for tests with real gateway processes."""

import contextlib
import http.client
import http.server
import itertools
import json
import socket
import threading
import typing as t
import urllib.request
from collections.abc import Callable, Iterator

from cardamomloft.gateway.calls import CallerHeaders

HOST = "kiosks.example"
"""The host that the rules in `examples/gateway-routes.json` match."""

DEFAULT_HEADER_NAMES = CallerHeaders("X-Request-Id", "X-Deadline-Ms", "X-Placement-Key")
"""Header names of callers without a platform adapter."""

RESTART_DELAY_S = 1.0
"""Time from a crash until the endpoint listens again, in seconds."""

POLL_INTERVAL_S = 0.01
"""Interval at which a server thread checks for shutdown, in seconds."""

_sequence = itertools.count(1)

Behaviour = Callable[["Endpoint", "_Handler"], None]


class Arrival(t.NamedTuple):
    """A request that reached an endpoint."""

    endpoint: str
    path: str


class Endpoint:
    """One endpoint that records its requests; `behaviour` handles each of them.

    Attributes
    ----------
    headers
        Additional headers of every answer.
    """

    def __init__(self, name: str, arrivals: list[Arrival], behaviour: Behaviour) -> None:
        self.name = name
        self.arrivals = arrivals
        self.behaviour = behaviour
        self.headers: dict[str, str] = {}
        self.connections: set[socket.socket] = set()
        self._closed = False
        self._open(0)

    @property
    def address(self) -> str:
        """The address as ``ip:port``."""
        host, port = self.server.server_address[:2]
        return f"{host}:{port}"

    def crash(self) -> None:
        """Close all connections like a crashed process; restart on the same address later."""
        self._end()
        threading.Timer(RESTART_DELAY_S, self._open, (self.server.server_address[1],)).start()

    def close(self) -> None:
        """Stop the endpoint without a restart."""
        self._closed = True
        self._end()

    def _open(self, port: int) -> None:
        if self._closed:
            return
        self.server = _Server(("127.0.0.1", port), _Handler)
        self.server.endpoint = self
        threading.Thread(
            target=self.server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True
        ).start()

    def _end(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        for conn in tuple(self.connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    endpoint: Endpoint

    def handle_error(self, request: t.Any, client_address: t.Any) -> None:
        """Ignore errors: tests end connections in many ways."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        """Record the connection, so that the endpoint can close it."""
        super().setup()
        self.server.endpoint.connections.add(self.connection)

    def finish(self) -> None:
        """Remove the connection from the record."""
        self.server.endpoint.connections.discard(self.connection)
        super().finish()

    def do_GET(self) -> None:  # noqa: N802
        """Record the request and pass it to the endpoint's behaviour."""
        endpoint = self.server.endpoint
        endpoint.arrivals.append(Arrival(endpoint.name, self.path))
        endpoint.behaviour(endpoint, self)

    def do_POST(self) -> None:  # noqa: N802
        """Read the body, which must have a length, then continue as for GET if it is whole."""
        length = int(self.headers["Content-Length"])
        if len(self.rfile.read(length)) == length:
            self.do_GET()

    def log_message(self, *args: t.Any) -> None:
        """Write no access log."""

    def answer(self, status: int = 200, **headers: str) -> None:
        """Send the endpoint's name as the body of an answer."""
        body = self.server.endpoint.name.encode()
        self.send_response(status)
        defaults = {"Content-Length": str(len(body))}
        for name, value in {**defaults, **self.server.endpoint.headers, **headers}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


def serve(endpoint: Endpoint, handler: _Handler) -> None:
    """Answer with status 200."""
    handler.answer()


def refuse(retry_after: str) -> Behaviour:
    """Return a behaviour that answers 503 without running the request, with ``Retry-After``."""

    def behave(endpoint: Endpoint, handler: _Handler) -> None:
        handler.answer(503, **{"X-Not-Run": "1", "Retry-After": retry_after})

    return behave


def crash_on(path: str) -> Behaviour:
    """Return a behaviour that crashes the endpoint on `path` and answers all other requests."""

    def behave(endpoint: Endpoint, handler: _Handler) -> None:
        if handler.path == path:
            endpoint.crash()
        else:
            handler.answer()

    return behave


@contextlib.contextmanager
def service(
    store: str, count: int, behaviour: Behaviour = serve
) -> Iterator[tuple[list[Endpoint], list[Arrival]]]:
    """Run `count` endpoints of the service ``menus``, registered in the store at `store`."""
    arrivals: list[Arrival] = []
    endpoints = [Endpoint(f"i-{next(_sequence)}", arrivals, behaviour) for _ in range(count)]
    for endpoint in endpoints:
        register(store, endpoint)
    try:
        yield endpoints, arrivals
    finally:
        for endpoint in endpoints:
            endpoint.close()


class Registered(t.Protocol):
    """An endpoint that can be registered."""

    name: str
    address: str


def register(store: str, endpoint: Registered, service: str = "menus") -> None:
    """Write the registration of `endpoint` to the store at `store`."""
    row = {"service": service, "address": endpoint.address, "zone": "a", "slots": 4}
    put(f"http://{store}/v1/kv/gateway/upstreams/{endpoint.name}", row)


def put(url: str, content: object) -> None:
    """Send `content` as JSON in a PUT request."""
    req = urllib.request.Request(url, json.dumps(content).encode(), method="PUT")
    with urllib.request.urlopen(req, timeout=5) as answer:
        answer.read()


class Reply(t.NamedTuple):
    """The answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


def send_request(
    gateway: str, path: str, key: str = "17", names: CallerHeaders = DEFAULT_HEADER_NAMES
) -> Reply:
    """Send one GET request to a gateway on a new connection."""
    conn = http.client.HTTPConnection(gateway, timeout=5)
    headers = {names.request_id: f"r{next(_sequence)}", names.key: key, names.deadline_ms: "2000"}
    with contextlib.closing(conn):
        conn.request("GET", path, headers={"Host": HOST, **headers})
        answer = conn.getresponse()
        return Reply(answer.status, dict(answer.getheaders()), answer.read())
