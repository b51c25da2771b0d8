"""Uploads to an endpoint that stops reading for longer than most answers take."""

import contextlib
import http.client
import json
import socket
import threading
import time
from datetime import timedelta

import pytest
from cardamomloft.gateway.calls import MAX_DEADLINE_MS
from cardamomloft.upstreams.connections import USER_TIMEOUT
from cardamomloft_standins import endpoints, processes
from cardamomloft_standins.cutlinks import Cut, write_links

PAUSE_S = 1.5
"""Time for which the endpoint reads nothing after the head of a request, in seconds."""

READ_BYTES = 16 * 1024
BUFFERED, STREAMED = 512 * 1024, 4 * 1024 * 1024
"""Sizes of bodies that a gateway holds in memory, and that it passes on as they arrive."""


class PausingEndpoint:
    """Reads the head of each request, pauses, reads the body and answers."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.name, self.address = "i-pausing", f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.bodies: list[int] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn: socket.socket) -> None:
        with conn, conn.makefile("rb", READ_BYTES) as stream, contextlib.suppress(OSError):
            while stream.readline().strip():
                headers = http.client.parse_headers(stream)
                time.sleep(PAUSE_S)
                length = int(headers["Content-Length"])
                left = length
                while left and (data := stream.read(min(left, READ_BYTES))):
                    left -= len(data)
                self.bodies.append(length - left)
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def put_rules(store: str) -> None:
    """Allow uploads that may run twice, and others that must not."""
    document = json.loads(processes.ROUTES.read_text())
    rule = document["rules"][0]
    rule["then"]["timeout"] = "6s"
    once = json.loads(json.dumps(rule)) | {"name": "stamps"}
    once["when"]["path"], once["then"]["idempotent"] = "/stamps/", False
    document["rules"] = [rule, once]
    endpoints.put(f"http://{store}/v1/kv/gateway/routes/current", document)


@pytest.fixture(scope="module")
def endpoint():
    endpoint = PausingEndpoint()
    yield endpoint
    endpoint.listener.close()


@pytest.fixture(scope="module")
def gateways(tmp_path_factory, endpoint):
    """Two gateways, of which the second reaches the endpoint through the first only."""
    folder = tmp_path_factory.mktemp("gateways")
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(processes.store())
        put_rules(store)
        endpoints.register(store, endpoint)
        settings = []
        for name, cut in (("e-1", Cut.NONE), ("e-2", Cut.REFUSE)):
            settings.append(stack.enter_context(processes.settings(store, name)))
            links = folder / f"{name}.links"
            write_links(links, cut, [endpoint.address])
            launch = ("-m", "cardamomloft_standins.cutlinks", str(links))
            stack.enter_context(processes.gateway(folder, settings[-1], launch))
        assert processes.eventually(lambda: all(map(has_converged, settings)), 30)
        yield settings


def has_converged(cfg) -> bool:
    page = processes.status(cfg)
    return page["state"] == "ready" and page["upstreams"] == 1 and len(page["entries"]) == 2


@pytest.mark.parametrize("size", [BUFFERED, STREAMED])
@pytest.mark.parametrize("path", ["/menus/7", "/stamps/7"])
@pytest.mark.parametrize("number", [0, 1], ids=["direct", "through another gateway"])
def test_endpoint_that_reads_slowly_gets_the_whole_body_once_and_its_answer_counts(
    gateways, endpoint, number, path, size
):
    endpoint.bodies.clear()
    conn = http.client.HTTPConnection(gateways[number]["callers"], timeout=10)
    request_id = f"{number}-{path}-{size}"
    headers = {"Host": endpoints.HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "6000"}
    conn.request("POST", path, bytes(size), headers)
    assert conn.getresponse().status == 200
    assert endpoint.bodies == [size]


def test_kernel_closes_no_connection_before_the_longest_deadline_that_callers_may_state():
    assert timedelta(milliseconds=MAX_DEADLINE_MS) <= USER_TIMEOUT
