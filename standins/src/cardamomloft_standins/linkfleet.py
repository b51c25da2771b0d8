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

SLOTS = 4
"""Requests that an endpoint with limited slots runs at the same time."""

QUEUE = 4
"""Requests that wait at such an endpoint for a slot."""

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
    """

    def __init__(self) -> None:
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
            if not accepted:
                self.refused.append(endpoint.name)
            slots = self._slots.setdefault(endpoint.name, threading.Semaphore(SLOTS))
        if not accepted:
            handler.answer(503, **{"X-Not-Run": "1", "X-Load": _load(present)})
            return
        try:
            with slots:
                started = time.monotonic()
                self.work(endpoint, handler)
                self.durations.append(time.monotonic() - started)
        finally:
            with self._lock:
                present = self._present[endpoint.name]
                self._present[endpoint.name] -= 1
        handler.answer(**{"X-Load": _load(present)})

    def work(self, endpoint: endpoints.Endpoint, handler: t.Any) -> None:
        """Hold a slot for the time of a request."""
        time.sleep(WORK_S)


class BrokenOff(t.NamedTuple):
    """A request whose connection was closed `after` seconds of work on it."""

    path: str
    endpoint: str
    after: float


class RecordedWork(LimitedWork):
    """Like `LimitedWork`, and records the requests that are broken off while they are at work.

    Endpoints finish their work on such requests.

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

    def work(self, endpoint: endpoints.Endpoint, handler: t.Any) -> None:
        """Hold a slot for the time of a request, and watch its connection."""
        started = time.monotonic()
        end = started + self._work_s(handler.path)
        if _is_closed(handler.connection, end):
            after = time.monotonic() - started
            self.broken_off.append(BrokenOff(handler.path, endpoint.name, after))
        time.sleep(max(0.0, end - time.monotonic()))


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
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        folder: pathlib.Path,
        gateways: int,
        cut_off: int,
        work: endpoints.Behaviour | None = None,
        changes: dict[str, t.Any] | None = None,
    ) -> None:
        self.folder = folder
        self.store = stack.enter_context(processes.store())
        self.configure(1000)
        service = endpoints.service(self.store, ENDPOINTS, work or _work)
        self.endpoints, self.arrivals = stack.enter_context(service)
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

    def configure(self, timeout_ms: int) -> None:
        """Put a configuration in force with a timeout of the requests that must not run twice."""
        document = json.loads(processes.ROUTES.read_text())
        rule = json.loads(json.dumps(_ONCE_RULE))
        rule["then"]["timeout"] = f"{timeout_ms}ms"
        document["rules"] += [rule, _SLOW_RULE]
        endpoints.put(f"http://{self.store}/v1/kv/gateway/routes/current", document)

    def start(self, cfg: dict[str, t.Any]) -> None:
        """Start a gateway."""
        launch = ("-m", "cardamomloft_standins.cutlinks", str(self._links_path(cfg)))
        process = processes.gateway(self.folder, cfg, launch)
        self._running[cfg["name"]] = self._stack.enter_context(process)

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
            and page["upstreams"] == len(self.endpoints)
            for page in pages
        )

    def cut(
        self,
        cut: Cut,
        settings: Iterable[dict[str, t.Any]] | None = None,
        endpoints: int = ENDPOINTS,
    ) -> None:
        """Change the links of some gateways, by default of those to be cut off.

        `endpoints` is the number of endpoints whose links change.
        """
        for cfg in self.cut_off if settings is None else settings:
            known = self._addresses()
            write_links(self._links_path(cfg), cut, known[:endpoints], known)

    def runs(self) -> Counter[str]:
        """Return how often each path was run."""
        return Counter(arrival.path for arrival in self.arrivals)

    def _links_path(self, cfg: dict[str, t.Any]) -> pathlib.Path:
        return self.folder / f"{cfg['name']}.links"

    def _addresses(self) -> list[str]:
        return [endpoint.address for endpoint in self.endpoints]


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
