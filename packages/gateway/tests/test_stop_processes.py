"""A gateway process that stops cuts nothing that an endpoint works on."""

import concurrent.futures
import contextlib
import http.client
import json
import pathlib
import signal
import socket
import time

import pytest
from cardamomloft_standins import endpoints, processes

LAUNCH = ("-m", "cardamomloft.gateway.main")

SLEEP_S = 1.2
"""How long a busy process does not handle events, in seconds."""

BUSY_SCRIPT = f"""
import runpy, signal, sys, time
def sleep(number, frame):
    from twisted.internet import reactor
    reactor.callFromThread(time.sleep, {SLEEP_S})
signal.signal(signal.SIGUSR1, sleep)
sys.argv = sys.argv[1:]
runpy.run_module("cardamomloft.gateway.main", run_name="__main__", alter_sys=True)
"""

LARGE = 6_000_000
"""Size of an answer that does not fit into the buffers of a connection."""

HEAD = f"Host: {endpoints.HOST}\r\nX-Deadline-Ms: 20000\r\nX-Request-Id: "


def work(endpoint, handler):
    """Serve ``/menus/MS/SIZE`` with a body of SIZE bytes after MS milliseconds."""
    _, _, ms, size, *_ = handler.path.split("/")
    time.sleep(int(ms) / 1000)
    handler.send_response(200)
    handler.send_header("Content-Length", size)
    handler.end_headers()
    handler.wfile.write(b"x" * int(size))


def configure(store, timeout="20s", prefix="/menus/"):
    document = json.loads(processes.ROUTES.read_text())
    rule = document["rules"][0]
    rule["when"]["path"] = prefix
    rule["then"]["timeout"] = timeout
    endpoints.put(f"http://{store}/v1/kv/gateway/routes/current", document)


class Running:
    """A gateway process and what is done to it, with times since its SIGTERM."""

    def __init__(self, stack, folder, stop_time="6s", launch=LAUNCH):
        self.store = stack.enter_context(processes.store())
        configure(self.store)
        service = endpoints.service(self.store, 2, work)
        self.endpoints, self.arrivals = stack.enter_context(service)
        url = self.store_url(f"upstreams/{self.endpoints[1].name}")
        row = {"service": "menus", "address": self.endpoints[1].address, "zone": "b", "slots": 4}
        endpoints.put(url, row)
        self.cfg = stack.enter_context(processes.settings(self.store))
        self.cfg["stop_time"] = stop_time
        self.path = folder / f"{self.cfg['name']}.json"
        self.log = processes.log_path(folder, self.cfg)
        self.proc = stack.enter_context(processes.gateway(folder, self.cfg, launch))
        self.pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor(20))
        assert processes.eventually(self.is_ready, 30), self.log.read_text()

    def store_url(self, key):
        return f"http://{self.store}/v1/kv/gateway/{key}"

    def is_ready(self):
        page = processes.status(self.cfg)
        return page["state"] == "ready" and page["upstreams"] == len(self.endpoints)

    def stop(self):
        self.stopped_at = time.monotonic()
        self.proc.send_signal(signal.SIGTERM)

    def sleep_until(self, at):
        time.sleep(max(0.0, self.stopped_at + at - time.monotonic()))

    def submit(self, at, action, *args):
        """Call an action at a time since the signal; return a future of its result."""

        def run():
            self.sleep_until(at)
            return action(*args)

        return self.pool.submit(run)

    def connect(self):
        host, _, port = self.cfg["callers"].rpartition(":")
        return socket.create_connection((host, int(port)), timeout=20)

    def get(self, path):
        """Return the status, whether the connection is closed, and the size of the body."""
        with self.connect() as conn:
            return exchange(conn, path)

    def events(self, name):
        rows = [json.loads(line) for line in self.log.read_text().splitlines() if name in line]
        return [row for row in rows if row["message_type"].endswith(f":{name}")]


@pytest.fixture
def run(tmp_path):
    with contextlib.ExitStack() as stack:
        run = Running(stack, tmp_path)
        yield run
        print(run.log.read_text())


def request(path, method="GET", headers=""):
    return f"{method} {path} HTTP/1.1\r\n{HEAD}{time.monotonic_ns()}\r\n{headers}\r\n".encode()


def read_answer(conn):
    answer = http.client.HTTPResponse(conn)
    answer.begin()
    return answer.status, answer.headers.get("Connection") == "close", len(answer.read())


def exchange(conn, path):
    conn.sendall(request(path))
    return read_answer(conn)


def upload(conn, chunks, pause):
    """Send a chunked body slowly, and return its answer."""
    conn.sendall(request("/menus/100/3", "POST", "Transfer-Encoding: chunked\r\n"))
    for _ in range(chunks):
        time.sleep(pause)
        conn.sendall(b"4\r\nbody\r\n")
    conn.sendall(b"0\r\n\r\n")
    return read_answer(conn)


def read_slowly(conn, seconds):
    """Request a large answer, and read it evenly in that time."""
    conn.sendall(request(f"/menus/10/{LARGE}"))
    steps, received = 40, b""
    for _ in range(steps):
        time.sleep(seconds / steps)
        received += conn.recv(LARGE // steps, socket.MSG_WAITALL)
    while part := conn.recv(LARGE):
        received += part
    return len(received.partition(b"\r\n\r\n")[2])


def pipeline(conn, paths):
    """Send all requests at once, and return the statuses and whether each answer closes."""
    conn.sendall(b"".join(map(request, paths)))
    with conn.makefile("rb") as stream:
        return [read_pipelined(stream) for _ in paths]


def read_pipelined(stream):
    head = ""
    while not head.endswith("\r\n\r\n"):
        line = stream.readline().decode()
        assert line, f"the connection ended: {head!r}"
        head += line
    length = int(head.lower().partition("content-length: ")[2].split("\r\n")[0])
    return int(head.split()[1]), "connection: close" in head.lower(), len(stream.read(length))


def nothing(run):
    """Let the stop go on."""


def signal_again(run):
    """Send SIGTERM again, and SIGHUP with settings that would end the process at once."""
    run.path.write_text(json.dumps(run.cfg | {"stop_time": "1s"}))
    run.proc.send_signal(signal.SIGHUP)
    assert processes.eventually(lambda: run.events("reloaded"), 2)
    run.proc.send_signal(signal.SIGTERM)


def shorten_timeout(run):
    configure(run.store, timeout="100ms")


def remove_route(run):
    configure(run.store, prefix="/other/")


def drain_zone(run):
    endpoints.put(run.store_url("drained-zones/a"), {})


def lose_store(run):
    endpoints.put(f"http://{run.store}/control", {"down": "hang"})


@pytest.mark.parametrize(
    "disturb",
    [nothing, signal_again, shorten_timeout, remove_route, drain_zone, lose_store],
)
def test_what_was_accepted_is_answered_whole_whatever_happens_during_the_stop(run, disturb):
    with contextlib.ExitStack() as stack:
        kept, reader, uploader, pipelining = [
            stack.enter_context(contextlib.closing(run.connect())) for _ in range(4)
        ]
        assert exchange(kept, "/menus/0/3") == (200, False, 3)
        run.stopped_at = time.monotonic()
        before = [run.submit(0, run.get, "/menus/4400/5") for _ in range(2)]
        uploaded = run.submit(0, upload, uploader, 36, 0.1)
        read = run.submit(0, read_slowly, reader, 4.0)
        piped = run.submit(0, pipeline, pipelining, ["/menus/900/1", "/menus/1800/2"])
        # All but the upload have reached an endpoint.
        assert processes.eventually(lambda: len(run.arrivals) == 6, 5)
        run.stop()
        run.submit(0.1, disturb, run).result()
        refused = run.submit(3.2, exchange, kept, "/menus/0/3")
        assert [fut.result() for fut in before] == [(200, True, 5)] * 2
        assert uploaded.result()[0] == 200
        assert read.result() == LARGE
        assert piped.result() == [(200, False, 1), (200, True, 2)]
        assert refused.result()[:2] == (503, True)
    assert run.proc.wait(timeout=10) == 0
    assert time.monotonic() - run.stopped_at < 6


def test_request_that_could_outlast_a_long_stop_is_refused(tmp_path):
    with contextlib.ExitStack() as stack:
        run = Running(stack, tmp_path, stop_time="10s")
        kept = stack.enter_context(contextlib.closing(run.connect()))
        exchange(kept, "/menus/0/3")
        before = run.pool.submit(run.get, "/menus/4000/5")
        time.sleep(0.2)
        run.stop()
        assert run.submit(3.3, exchange, kept, "/menus/8000/3").result()[:2] == (503, True)
        assert before.result() == (200, True, 5)


def keep_busy(run):
    run.proc.send_signal(signal.SIGUSR1)
    time.sleep(0.1)
    run.stop()


def freeze(run):
    run.proc.send_signal(signal.SIGSTOP)
    run.stop()
    run.sleep_until(SLEEP_S)
    run.proc.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("stop", [keep_busy, freeze])
def test_phases_count_from_the_signal_if_it_is_handled_late(tmp_path, stop):
    with contextlib.ExitStack() as stack:
        run = Running(stack, tmp_path, launch=("-c", BUSY_SCRIPT, "gateway"))
        kept = stack.enter_context(contextlib.closing(run.connect()))
        exchange(kept, "/menus/0/3")
        before = run.pool.submit(run.get, "/menus/5200/5")
        time.sleep(0.2)
        stop(run)
        assert run.submit(3.1, exchange, kept, "/menus/0/3").result()[:2] == (503, True)
        assert before.result() == (200, True, 5)


def test_log_names_the_requests_that_the_hard_stop_cuts(run):
    cut = run.pool.submit(run.get, "/menus/9000/5")
    assert processes.eventually(lambda: run.arrivals, 5)
    run.stop()
    with pytest.raises(http.client.HTTPException):
        cut.result()
    run.proc.wait(timeout=5)
    phases = {name: run.events(name)[0] for name in ("leaving", "closing", "stopped")}
    assert [row["in_flight"] for row in phases.values()] == [1, 1, 1]
    assert 5000 <= phases["stopped"]["since_signal_ms"] < 6000
    assert phases["stopped"]["connections"] == 1
    (ended,) = run.events("request")
    assert ended["cut_by"] == "hard-stop"


def ignores_hangup(proc):
    status = pathlib.Path(f"/proc/{proc.pid}/status").read_text()
    ignored = next(line for line in status.splitlines() if line.startswith("SigIgn:"))
    return int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1)


def test_changed_settings_that_are_signalled_during_the_start_do_not_end_the_process(tmp_path):
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(processes.store())
        configure(store)
        cfg = stack.enter_context(processes.settings(store))
        proc = stack.enter_context(processes.gateway(tmp_path, cfg, LAUNCH))
        assert processes.eventually(lambda: ignores_hangup(proc), 10)
        proc.send_signal(signal.SIGHUP)
        assert processes.eventually(lambda: processes.status(cfg)["state"] == "ready", 30)
