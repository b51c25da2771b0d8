"""Uploads that endpoints acknowledge before they have read them, through real processes."""

import contextlib
import hashlib
import http.client
import itertools
import json
import os
import signal
import socket
import threading
import time

import pytest
from cardamomloft_standins import endpoints, processes
from cardamomloft_standins.cutlinks import Cut, write_links
from cardamomloft_standins.earlyanswers import EarlyEndpoint, Plan

MIB = 1024 * 1024
FIRST = 64 * 1024
MAX_BODY_BYTES = 8_000_000
SHORT_DEADLINE_MS, LONG_DEADLINE_MS = 700, 6_000
NOTICE_S = 3.0
"""Time in which an endpoint learns that an upload stays incomplete, in seconds."""

ROUTES = [0, 1]
ROUTE_NAMES = ["direct", "through another gateway"]

_names = (f"upload-{number}" for number in itertools.count(1))


class Fleet:
    """Two gateways, of which the second reaches the endpoint through the first only."""

    def __init__(self, stack: contextlib.ExitStack, folder) -> None:
        self.stack, self.folder = stack, folder
        self.endpoint = EarlyEndpoint()
        stack.callback(self.endpoint.close)
        store = stack.enter_context(processes.store())
        document = json.loads(processes.ROUTES.read_text())
        document["rules"][0]["then"]["timeout"] = "6s"
        document["rules"] = document["rules"][:1]
        document["limits"]["body_bytes"] = MAX_BODY_BYTES
        endpoints.put(f"http://{store}/v1/kv/gateway/routes/current", document)
        endpoints.register(store, self.endpoint)
        self.settings, self.processes = [], []
        for name, cut in (("e-1", Cut.NONE), ("e-2", Cut.REFUSE)):
            cfg = stack.enter_context(processes.settings(store, name))
            links = folder / f"{name}.links"
            write_links(links, cut, [self.endpoint.address])
            launch = ("-m", "cardamomloft_standins.cutlinks", str(links))
            self.settings.append(cfg)
            self.processes.append(stack.enter_context(processes.gateway(folder, cfg, launch)))
        assert processes.eventually(lambda: all(map(has_converged, self.settings)), 30)

    def logged_incomplete(self, name: str) -> bool:
        """Return whether a gateway has logged that the upload `name` stays incomplete."""
        paths = (processes.log_path(self.folder, cfg) for cfg in self.settings)
        lines = (line for path in paths for line in path.read_text().splitlines())
        return any("upload-incomplete" in line and f'"{name}"' in line for line in lines)

    def connect(self, number: int) -> socket.socket:
        host, _, port = self.settings[number]["callers"].rpartition(":")
        return self.stack.enter_context(socket.create_connection((host, int(port)), 15))

    def ended(self, name: str, timeout_s: float = 15):
        """Return what the endpoint has got of an upload once it has ended."""
        assert processes.eventually(lambda: self.endpoint.upload(name), timeout_s), name
        return self.endpoint.upload(name)


def has_converged(cfg) -> bool:
    page = processes.status(cfg)
    return page["state"] == "ready" and page["upstreams"] == 1 and len(page["entries"]) == 2


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path_factory.mktemp("gateways"))


@pytest.fixture
def own_fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path)


def head(name, plan=None, size=0, method="POST", deadline_ms=LONG_DEADLINE_MS, chunked=False):
    headers = {"Host": endpoints.HOST, "X-Request-Id": name, "X-Deadline-Ms": str(deadline_ms)}
    headers |= {} if plan is None else plan.headers()
    framing = {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": str(size)}
    lines = [f"{method} /menus/7 HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in (headers | framing).items()]
    return "\r\n".join((*lines, "", "")).encode()


def chunks_of(body, size=100_000):
    """Return a body in chunks."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def read_answer(conn):
    answer = http.client.HTTPResponse(conn)
    answer.begin()
    return answer.status, answer.read()


def send_requests(fleet, number, count):
    """Send look-ups with a short deadline at the same time, and wait for them."""

    def send():
        with contextlib.suppress(OSError, http.client.HTTPException):
            conn = fleet.connect(number)
            conn.sendall(head(next(_names), method="GET", deadline_ms=SHORT_DEADLINE_MS))
            read_answer(conn)

    threads = [threading.Thread(target=send) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.mark.parametrize("size", [FIRST, 2 * FIRST, 200_000, 900_000, MIB, MIB + 1, 3_000_000])
@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
def test_deadline_of_the_next_request_does_not_cut_an_acknowledged_upload(fleet, number, size):
    """Guards against the reset of a connection that still carries an acknowledged body."""
    name, body, plan = next(_names), os.urandom(size), Plan(min(FIRST, size // 2), pause=3.0)
    conn = fleet.connect(number)
    threading.Thread(target=conn.sendall, args=(head(name, plan, size) + body,)).start()
    assert read_answer(conn)[0] == 200
    send_requests(fleet, number, 3)
    got = fleet.ended(name)
    assert (got.received, got.whole) == (size, True)
    assert got.sha256 == hashlib.sha256(body).hexdigest()


@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
@pytest.mark.parametrize("chunked", [False, True])
def test_endpoint_learns_soon_that_a_caller_has_left_after_an_early_answer(fleet, number, chunked):
    """Guards against endpoints and connections that wait for the rest without end."""
    name, plan = next(_names), Plan(after=50_000)
    conn = fleet.connect(number)
    part = b"x" * 2_000_000
    data = b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
    conn.sendall(head(name, plan, 3_000_000, chunked=chunked) + data)
    assert read_answer(conn)[0] == 200
    conn.close()
    got = fleet.ended(name, NOTICE_S)
    assert not got.whole
    assert processes.eventually(lambda: fleet.logged_incomplete(name), 1)


@pytest.mark.parametrize("size", [900_000, 3_000_000])
@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
def test_caller_that_leaves_after_it_has_sent_all_does_not_cut_its_upload(fleet, number, size):
    name, body, plan = next(_names), os.urandom(size), Plan(FIRST, pause=1.0)
    conn = fleet.connect(number)
    conn.sendall(head(name, plan, size) + body)
    assert read_answer(conn)[0] == 200
    conn.close()
    got = fleet.ended(name)
    assert (got.received, got.whole) == (size, True)


PLANS = {
    "without a body": Plan(FIRST, 1.0, status=204, framing="none"),
    "chunked answer": Plan(FIRST, 1.0, framing="chunked"),
    "endpoint that closes its side, and reads on": Plan(FIRST, 1.0, half_close=True),
    "long answer": Plan(FIRST, 1.0, size=600_000),
    "long chunked answer": Plan(FIRST, 1.0, framing="chunked", size=600_000),
    "slow reading": Plan(FIRST, 0.2, step=0.02),
}


@pytest.mark.parametrize("size", [900_000, 3_000_000])
@pytest.mark.parametrize("plan", PLANS.values(), ids=PLANS)
@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
def test_upload_arrives_whole_whatever_the_early_answer_is_like(fleet, number, plan, size):
    name, body = next(_names), os.urandom(size)
    conn = fleet.connect(number)
    threading.Thread(target=conn.sendall, args=(head(name, plan, size) + body,)).start()
    status, content = read_answer(conn)
    assert (status, len(content)) == (plan.status, 0 if plan.framing == "none" else plan.size)
    got = fleet.ended(name)
    assert (got.received, got.whole) == (size, True)


@pytest.mark.parametrize("size", [900_000, 3_000_000])
@pytest.mark.parametrize("status", [404, 500])
def test_early_error_stops_the_upload_and_its_connection_is_not_used_again(fleet, status, size):
    name, plan = next(_names), Plan(FIRST, 0.5, status=status)
    conn = fleet.connect(0)
    body = bytes(size)

    def send():
        with contextlib.suppress(OSError):
            conn.sendall(head(name, plan, size) + body)

    threading.Thread(target=send).start()
    assert read_answer(conn)[0] == status
    follower = fleet.connect(0)
    follower.sendall(head(next(_names), method="GET", deadline_ms=SHORT_DEADLINE_MS))
    assert read_answer(follower)[0] == 200
    assert not fleet.ended(name).whole


@pytest.mark.parametrize("size", [900_000, 3_000_000])
def test_endpoint_that_closes_after_its_early_answer_has_answered(fleet, size):
    name, plan = next(_names), Plan(FIRST, leave=True)
    conn = fleet.connect(0)
    threading.Thread(target=conn.sendall, args=(head(name, plan, size) + bytes(size),)).start()
    assert read_answer(conn)[0] == 200
    conn.sendall(head(next(_names), method="GET"))
    assert read_answer(conn)[0] == 200


@pytest.mark.parametrize("size", [900_000, 3_000_000])
def test_pipelined_request_behind_an_early_answered_upload_is_answered(fleet, size):
    name, body, plan = next(_names), os.urandom(size), Plan(FIRST, 1.0)
    conn = fleet.connect(0)
    behind = head(next(_names), method="GET")
    threading.Thread(target=conn.sendall, args=(head(name, plan, size) + body + behind,)).start()
    stream = conn.makefile("rb")
    answers = []
    for _ in range(2):
        status = int(stream.readline().split()[1])
        headers = http.client.parse_headers(stream)
        stream.read(int(headers["Content-Length"]))
        answers.append(status)
    assert answers == [200, 200]
    assert fleet.ended(name).whole


@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
@pytest.mark.parametrize("size", [900_000, 3_000_000])
def test_stop_waits_until_an_acknowledged_upload_is_passed_on(own_fleet, number, size):
    """Guards against processes that end with the rest of an acknowledged body in memory."""
    name, body, plan = next(_names), os.urandom(size), Plan(FIRST, pause=2.5, step=0.005)
    conn = own_fleet.connect(number)
    threading.Thread(target=conn.sendall, args=(head(name, plan, size) + body,)).start()
    assert read_answer(conn)[0] == 200
    for proc in own_fleet.processes:
        proc.send_signal(signal.SIGTERM)
    got = own_fleet.ended(name)
    assert (got.received, got.whole) == (size, True)
    for proc in own_fleet.processes:
        assert proc.wait(7) == 0


@pytest.mark.parametrize("size", [500_000, 3_000_000])
def test_stopping_gateway_acknowledges_an_upload_once_it_is_passed_on(own_fleet, size):
    """Guards against callers that stop sending at an answer that closes their connection."""
    name, body, plan = next(_names), os.urandom(size), Plan(FIRST)
    conn = own_fleet.connect(0)
    conn.sendall(head(name, plan, size) + body[: FIRST // 2])
    own_fleet.processes[0].send_signal(signal.SIGTERM)
    time.sleep(0.5)
    for start in range(FIRST // 2, size, 100_000):
        conn.sendall(body[start : start + 100_000])
        time.sleep(0.02)
    assert read_answer(conn)[0] == 200
    got = own_fleet.ended(name)
    assert (got.received, got.whole) == (size, True)


@pytest.mark.parametrize("size", [900_000, MIB, MIB + 1, 3_000_000])
@pytest.mark.parametrize("plan", [None, Plan(FIRST, 1.0)], ids=["read first", "answered early"])
@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
def test_body_in_chunks_arrives_whole(fleet, number, plan, size):
    """Guards against the refusal of bodies in chunks that the configuration allows."""
    name, body = next(_names), os.urandom(size)
    conn = fleet.connect(number)
    data = head(name, plan, chunked=True) + chunks_of(body)
    threading.Thread(target=conn.sendall, args=(data,)).start()
    assert read_answer(conn)[0] == 200
    got = fleet.ended(name)
    assert (got.received, got.whole) == (size, True)
    assert got.sha256 == hashlib.sha256(body).hexdigest()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("number", ROUTES, ids=ROUTE_NAMES)
def test_body_that_the_configuration_does_not_allow_is_answered_413(fleet, number, chunked):
    size, name = MAX_BODY_BYTES + 1, next(_names)
    conn = fleet.connect(number)
    body = chunks_of(bytes(size)) if chunked else bytes(size)

    def send():
        with contextlib.suppress(OSError):
            conn.sendall(head(name, size=size, chunked=chunked) + body)

    threading.Thread(target=send).start()
    assert read_answer(conn)[0] == 413
    got = fleet.endpoint.upload(name)
    assert got is None or not got.whole
