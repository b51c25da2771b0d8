"""Real gateway processes whose links to a service of endpoints can be cut."""

import contextlib
import json
import pathlib
import select
import signal
import socket
import subprocess
import threading
import time
import typing as t
from collections import Counter
from collections.abc import Callable, Iterable

from cardamomloft_standins import endpoints, processes
from cardamomloft_standins.cutlinks import Cut, write_links
from cardamomloft_standins.earlyanswers import EarlyEndpoint

IDEMPOTENT = "/menus/7"
"""Path of requests that may run more than once."""

ONCE = "/stamps"
"""Prefix of the paths of requests that must run at most once."""

SLOW = "/tasks"
"""Prefix of the paths of requests that may run more than once, and have a long timeout."""

LARGE, CHUNKED, TRUNCATED = "/menus/large", "/menus/chunked", "/menus/truncated"
"""Paths with an answer that is streamed, one without a length, and one that ends early."""

LARGE_BODY = b"0123456789" * 100_000

CHUNKED_BODY = b"without length"

ENDPOINTS = 6

WORK_S = 0.05
"""Time that an endpoint takes for a request, in seconds."""

CONNECTIONS = 360
"""Connections that an endpoint which may answer early accepts."""

SLOTS = 4
"""Requests that an endpoint with limited slots runs at the same time."""

QUEUE = 4
"""Requests that wait at such an endpoint for a slot."""

POLL_INTERVAL_S = 0.01
"""Interval at which the connections of waiting requests are checked, in seconds."""

_ONCE_RULE = {
    "name": "stamps",
    "when": {"host": endpoints.HOST, "path": f"{ONCE}/"},
    "then": {
        "services": [{"service": "menus", "weight": 1}],
        "timeout": "1s",
        "target": "400ms",
        "attempts": 2,
        "priority": 1,
    },
}

_SLOW_RULE = {
    "name": "tasks",
    "when": {"host": endpoints.HOST, "path": f"{SLOW}/"},
    "then": {
        "services": [{"service": "menus", "weight": 1}],
        "idempotent": True,
        "timeout": "3s",
        "target": "2s",
        "attempts": 2,
        "priority": 2,
    },
}


class LimitedWork:
    """Behaviour of endpoints that state their load, and refuse what is beyond their queues.

    Attributes
    ----------
    refused
        The endpoints of the requests that were refused since the last `reset`.
    durations
        How long requests have held a slot since then, in seconds; on a busy machine that is longer
        than `WORK_S`.
    accepted
        The paths of the requests that were not refused.
    """

    def __init__(self) -> None:
        self.accepted: list[str] = []
        self.refused: list[str] = []
        self.durations: list[float] = []
        self._present: Counter[str] = Counter()
        self._slots: dict[str, threading.Semaphore] = {}
        self._lock = threading.Lock()

    def reset(self) -> None:
        """Count from now on."""
        self.refused, self.durations = [], []

    def __call__(self, endpoint: endpoints.Endpoint, handler: t.Any) -> None:
        """Run a request, or refuse it."""
        with self._lock:
            present = self._present[endpoint.name]
            accepted = present < SLOTS + QUEUE
            self._present[endpoint.name] += accepted
            if accepted:
                self.accepted.append(handler.path)
            else:
                self.refused.append(endpoint.name)
            slots = self._slots.setdefault(endpoint.name, threading.Semaphore(SLOTS))
        if not accepted:
            handler.answer(503, **{"X-Not-Run": "1", "X-Load": _load(present)})
            return
        try:
            self.wait(slots, endpoint, handler)
            try:
                started = time.monotonic()
                self.work(endpoint, handler)
                self.durations.append(time.monotonic() - started)
            finally:
                slots.release()
        finally:
            with self._lock:
                present = self._present[endpoint.name]
                self._present[endpoint.name] -= 1
        handler.answer(**{"X-Load": _load(present)})

    def wait(
        self, slots: threading.Semaphore, endpoint: endpoints.Endpoint, handler: t.Any
    ) -> None:
        """Wait for a slot."""
        slots.acquire()

    def work(self, endpoint: endpoints.Endpoint, handler: t.Any) -> None:
        """Hold a slot for the time of a request."""
        time.sleep(WORK_S)


class BrokenOff(t.NamedTuple):
    """A request whose connection was closed `after` seconds of work on it, 0 before the work.

    `at` is a time of ``time.monotonic``, and `source` the IP address of the connection's peer.
    """

    path: str
    endpoint: str
    source: str
    at: float
    after: float


class RecordedWork(LimitedWork):
    """Like `LimitedWork`, and records the requests that are broken off after they were accepted.

    Endpoints work on such requests all the same.

    Parameters
    ----------
    work_s
        Returns the time that an endpoint takes for the request with a path, in seconds.

    Attributes
    ----------
    broken_off
        The requests whose connections were closed before their answers.
    """

    def __init__(self, work_s: Callable[[str], float]) -> None:
        super().__init__()
        self.broken_off: list[BrokenOff] = []
        self._work_s = work_s

    def wait(
        self, slots: threading.Semaphore, endpoint: endpoints.Endpoint, handler: t.Any
    ) -> None:
        """Wait for a slot, and watch the connection."""
        while not slots.acquire(timeout=POLL_INTERVAL_S):
            if _is_closed(handler.connection, time.monotonic()):
                self._record(endpoint, handler, 0.0)
                slots.acquire()
                return

    def work(self, endpoint: endpoints.Endpoint, handler: t.Any) -> None:
        """Hold a slot for the time of a request, and watch its connection."""
        started = time.monotonic()
        end = started + self._work_s(handler.path)
        if _is_closed(handler.connection, end):
            self._record(endpoint, handler, time.monotonic() - started)
        time.sleep(max(0.0, end - time.monotonic()))

    def _record(self, endpoint: endpoints.Endpoint, handler: t.Any, after: float) -> None:
        source = handler.client_address[0]
        one = BrokenOff(handler.path, endpoint.name, source, time.monotonic(), after)
        self.broken_off.append(one)


class LinkFleet:
    """Gateways in two zones, and the endpoints of one service.

    Parameters
    ----------
    stack
        Ends the processes.
    folder
        For settings, logs and the state of the links.
    gateways
        Number of gateways.
    cut_off
        Number of gateways, all in one zone, whose links `cut` cuts by default.
    work
        Behaviour of the endpoints; by default they have no limit.
    changes
        Settings of the gateways that differ from :func:`~.processes.settings`.
    early
        Number of endpoints of the service ``media``, which may answer uploads early.
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        folder: pathlib.Path,
        gateways: int,
        cut_off: int,
        work: endpoints.Behaviour | None = None,
        changes: dict[str, t.Any] | None = None,
        early: int = 0,
    ) -> None:
        self.folder = folder
        self.store_processes: list[subprocess.Popen[bytes]] = []
        self.store = stack.enter_context(processes.store(self.store_processes.append))
        self.configure(1000)
        service = endpoints.service(self.store, ENDPOINTS, work or _work)
        self.endpoints, self.arrivals = stack.enter_context(service)
        self.early = [EarlyEndpoint() for _ in range(early)]
        for endpoint in self.early:
            stack.callback(endpoint.close)
            endpoints.register(self.store, endpoint, "media")
        self.settings: list[dict[str, t.Any]] = []
        self._stack = stack
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        for number in range(gateways):
            name, zone = f"e-{number}", "b" if number < cut_off else "a"
            cfg = stack.enter_context(processes.settings(self.store, name, zone)) | (changes or {})
            write_links(self._links_path(cfg), Cut.NONE, self._addresses())
            self.settings.append(cfg)
            self.start(cfg)
        self.cut_off = self.settings[:cut_off]

    def configure(
        self,
        timeout_ms: int,
        slow_timeout_ms: int = 3000,
        rules: Iterable[dict[str, t.Any]] = (),
    ) -> None:
        """Put a configuration in force with a timeout of the requests that must not run twice.

        `slow_timeout_ms` is the timeout of slow requests, and `rules` are further ones.
        """
        document = json.loads(processes.ROUTES.read_text())
        document["services"]["media"] = {"connections": CONNECTIONS}
        document["rules"] += [
            _with_timeout(_ONCE_RULE, timeout_ms),
            _with_timeout(_SLOW_RULE, slow_timeout_ms),
            *rules,
        ]
        endpoints.put(f"http://{self.store}/v1/kv/gateway/routes/current", document)

    def start(self, cfg: dict[str, t.Any]) -> None:
        """Start a gateway; the logs of its earlier processes are kept."""
        log = processes.log_path(self.folder, cfg)
        if log.exists():
            number = sum(1 for _ in self.folder.glob(f"{cfg['name']}.*.log"))
            log.rename(log.with_suffix(f".{number}.log"))
        links = str(self._links_path(cfg))
        source = ("--source", source_of(cfg["name"]))
        launch = ("-m", "cardamomloft_standins.cutlinks", links, *source)
        process = processes.gateway(self.folder, cfg, launch)
        self._running[cfg["name"]] = self._stack.enter_context(process)

    def pid(self, cfg: dict[str, t.Any]) -> int:
        """Return the process id of a gateway."""
        return self._running[cfg["name"]].pid

    def signal(self, cfg: dict[str, t.Any], number: signal.Signals) -> "subprocess.Popen[bytes]":
        """Send a signal to a gateway, and return its process."""
        proc = self._running[cfg["name"]]
        proc.send_signal(number)
        return proc

    def has_converged(self) -> bool:
        """Return whether all gateways know each other and all endpoints."""
        pages = [processes.status(cfg) for cfg in self.settings]
        return all(
            page["state"] == "ready"
            and len(page["entries"]) == len(self.settings)
            and page["upstreams"] == len(self.endpoints) + len(self.early)
            for page in pages
        )

    def cut(
        self,
        cut: Cut,
        settings: Iterable[dict[str, t.Any]] | None = None,
        endpoints: int = ENDPOINTS,
        *,
        early: bool = False,
    ) -> None:
        """Change the links of some gateways, by default of those to be cut off.

        `endpoints` is the number of endpoints whose links change, and `early` tells whether the
        links to all that may answer early change too.
        """
        for cfg in self.cut_off if settings is None else settings:
            known = self._addresses()
            changed = known[:endpoints] + (known[len(self.endpoints) :] if early else [])
            write_links(self._links_path(cfg), cut, changed, known)

    def unserved(self, most: int = 20) -> str:
        """Return the last log lines of requests that gateways have not served, for messages."""
        lines = [
            line
            for path in sorted(self.folder.glob("*.log"))
            for line in path.read_text().splitlines()
            if '"message_type":"cardamomloft:request"' in line and '"outcome":"served"' not in line
        ]
        return "\n".join(lines[-most:])

    def runs(self) -> Counter[str]:
        """Return how often each path was run."""
        return Counter(arrival.path for arrival in self.arrivals)

    def _links_path(self, cfg: dict[str, t.Any]) -> pathlib.Path:
        return self.folder / f"{cfg['name']}.links"

    def _addresses(self) -> list[str]:
        return [endpoint.address for endpoint in (*self.endpoints, *self.early)]


def source_of(name: str) -> str:
    """Return the IP address from which the gateway with a name connects to endpoints."""
    return f"127.0.1.{int(name.rpartition('-')[2]) + 1}"


def _is_closed(conn: socket.socket, end: float) -> bool:
    """Return whether the peer closes a connection before it sends on it, and before `end`.

    `end` is a time of ``time.monotonic``.
    """
    readable, _, _ = select.select([conn], [], [], max(0.0, end - time.monotonic()))
    if not readable:
        return False
    try:
        return not conn.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def _with_timeout(rule: dict[str, t.Any], timeout_ms: int) -> dict[str, t.Any]:
    """Return a copy of `rule` with the timeout."""
    return rule | {"then": rule["then"] | {"timeout": f"{timeout_ms}ms"}}


def _load(present: int) -> str:
    """Return the header value for a number of requests at an endpoint."""
    running = min(present, SLOTS)
    return f"{running},{present - running},{SLOTS}"


def _work(endpoint: t.Any, handler: t.Any) -> None:
    time.sleep(WORK_S)
    if handler.path == LARGE:
        handler.send_response(200)
        handler.send_header("Content-Length", str(len(LARGE_BODY)))
        handler.end_headers()
        handler.wfile.write(LARGE_BODY)
    elif handler.path == CHUNKED:
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.wfile.write(b"6\r\nwithou\r\n8\r\nt length\r\n0\r\n\r\n")
    elif handler.path == TRUNCATED:
        handler.send_response(200)
        handler.send_header("Content-Length", str(len(LARGE_BODY)))
        handler.end_headers()
        handler.wfile.write(LARGE_BODY[: len(LARGE_BODY) // 2])
        handler.close_connection = True
    else:
        handler.answer()
