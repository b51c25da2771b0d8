"""Endpoints of one service for tests with real gateways: threads of the test's own process."""

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
"""The host of the rules in `examples/gateway-routes.json`."""

OWN_NAMES = CallerHeaders("X-Request-Id", "X-Deadline-Ms", "X-Placement-Key")
"""How callers name things where no platform has names of its own."""

BACK_S = 1.0
"""How long an endpoint that has crashed is away, in seconds."""

POLL_S = 0.01
"""How often an endpoint looks whether it is to end, in seconds."""

_numbers = itertools.count(1)

Behaviour = Callable[["Endpoint", "_Handler"], None]


class Arrival(t.NamedTuple):
    """A request that reached an endpoint."""

    endpoint: str
    path: str


class Endpoint:
    """One endpoint that notes what reaches it; `behaviour` answers, or does not.

    Attributes
    ----------
    headers
        What each answer says besides.
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
        """End as when the process ends, and be back on the same address soon."""
        self._end()
        threading.Timer(BACK_S, self._open, (self.server.server_address[1],)).start()

    def close(self) -> None:
        """End for good."""
        self._closed = True
        self._end()

    def _open(self, port: int) -> None:
        if self._closed:
            return
        self.server = _Server(("127.0.0.1", port), _Handler)
        self.server.endpoint = self
        threading.Thread(target=self.server.serve_forever, args=(POLL_S,), daemon=True).start()

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
        """Print nothing: connections end in any way here."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        """Note the connection, so that it ends with the endpoint."""
        super().setup()
        self.server.endpoint.connections.add(self.connection)

    def finish(self) -> None:
        """Forget the connection."""
        self.server.endpoint.connections.discard(self.connection)
        super().finish()

    def do_GET(self) -> None:  # noqa: N802
        """Note the request and let the endpoint's behaviour answer it."""
        endpoint = self.server.endpoint
        endpoint.arrivals.append(Arrival(endpoint.name, self.path))
        endpoint.behaviour(endpoint, self)

    def log_message(self, *args: t.Any) -> None:
        """Keep no log."""

    def answer(self, status: int = 200, **headers: str) -> None:
        """Answer with the name of the endpoint."""
        body = self.server.endpoint.name.encode()
        self.send_response(status)
        own = {"Content-Length": str(len(body))}
        for name, value in {**own, **self.server.endpoint.headers, **headers}.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)


def serve(endpoint: Endpoint, handler: _Handler) -> None:
    """Answer well."""
    handler.answer()


def refuse(retry_after: str) -> Behaviour:
    """Return the behaviour of an endpoint that runs nothing, and wants nothing for some seconds."""

    def behave(endpoint: Endpoint, handler: _Handler) -> None:
        handler.answer(503, **{"X-Not-Run": "1", "Retry-After": retry_after})

    return behave


def crash_on(path: str) -> Behaviour:
    """Return the behaviour of an endpoint that ends without an answer at one path."""

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
    """Own `count` endpoints of the service ``menus`` that are registered in a store."""
    arrivals: list[Arrival] = []
    endpoints = [Endpoint(f"i-{next(_numbers)}", arrivals, behaviour) for _ in range(count)]
    for endpoint in endpoints:
        register(store, endpoint)
    try:
        yield endpoints, arrivals
    finally:
        for endpoint in endpoints:
            endpoint.close()


def register(store: str, endpoint: Endpoint) -> None:
    """Write an endpoint's registration."""
    row = {"service": "menus", "address": endpoint.address, "zone": "a", "slots": 4}
    put(f"http://{store}/v1/kv/gateway/upstreams/{endpoint.name}", row)


def put(url: str, content: object) -> None:
    """Write JSON to an address."""
    req = urllib.request.Request(url, json.dumps(content).encode(), method="PUT")
    with urllib.request.urlopen(req, timeout=5) as answer:
        answer.read()


class Reply(t.NamedTuple):
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes


def send_request(
    gateway: str, path: str, key: str = "17", names: CallerHeaders = OWN_NAMES
) -> Reply:
    """Send one request to a gateway, on a connection of its own."""
    conn = http.client.HTTPConnection(gateway, timeout=5)
    said = {names.request_id: f"r{next(_numbers)}", names.key: key, names.deadline_ms: "2000"}
    with contextlib.closing(conn):
        conn.request("GET", path, headers={"Host": HOST, **said})
        answer = conn.getresponse()
        return Reply(answer.status, dict(answer.getheaders()), answer.read())
