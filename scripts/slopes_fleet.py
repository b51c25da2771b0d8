"""Costs of real processes on loopback, by peers, roster size, look-ups, requests and changes."""

import base64
import contextlib
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import threading
import time
import typing as t
import urllib.request
import uuid
from collections.abc import Callable, Iterator

from cardamomloft.core.changes import decode_record, encode_record, next_record
from cardamomloft.core.document import Document
from fleet import Fleet, get_json, wait_until
from slopes_document import Size, make_document
from slopes_fit import Series

BUILD = pathlib.Path(__file__).resolve().parent.parent / "build" / "slopes"
SOURCE = "processes"
_ENDPOINTS = 48
_RULES = 20
_REGIONS, _ZONES = 2, 4
_MESH_SIZES = (4, 8, 12, 16)
_QUICK_MESH_SIZES = (1, 2, 3, 4)
_IDLE_SIZES = (20, 24, 28, 32)
_ROSTER_SIZES = (100, 400, 800, 1500)
_RUNNING_ENTRIES = 4
_LOOKUP_RATES = (0, 100, 200, 400)
_REQUEST_RATES = (0, 25, 50, 100)
_CHANGE_COUNTS = (0, 2, 4, 8)
_CALLERS = 4
_START_S = 60.0


class _Times(t.NamedTuple):
    """Seconds to settle and to measure, and repetitions of single timings."""

    settle: float
    window: float
    repeat: int


_TIMES = _Times(settle=4.0, window=6.0, repeat=3)
_QUICK_TIMES = _Times(settle=0.3, window=0.4, repeat=1)


class _Sample(t.NamedTuple):
    """Counters of one entry: processor seconds, resident bytes, peer traffic since its start."""

    cpu: float
    rss: int
    peer_bytes: int
    peer_messages: int


class _Usage(t.NamedTuple):
    """Mean usage of an entry: percent of a core, resident bytes, bytes/s and messages/s."""

    cpu: float
    rss: float
    peer_bytes: float
    peer_messages: float


def measure(*, quick: bool) -> Iterator[Series]:
    """Yield all series of real processes."""
    times = _QUICK_TIMES if quick else _TIMES
    shutil.rmtree(BUILD, ignore_errors=True)
    yield from _by_peers("mesh", _QUICK_MESH_SIZES if quick else _MESH_SIZES, times)
    if not quick:
        yield from _by_peers("idle", _IDLE_SIZES, times)
        yield from _by_roster(_ROSTER_SIZES, times)
    yield from _by_load(times)


@contextlib.contextmanager
def _running_fleet(document: Document, name: str, count: int | None = None) -> Iterator[Fleet]:
    """Yield a fleet that runs the first `count` entries (default: all) of the document."""
    fleet = Fleet(t.cast(dict[str, t.Any], document), BUILD / name, 1)
    fleet.store, fleet.vms = "127.2.200.1:8500", "127.2.200.2:8600"
    seats = list(document["entries"])[:count]
    try:
        fleet.start_standins()
        record = next_record(None, document, "slopes", "2026-01-01T00:00:00+00:00", "", "change-0")
        _write_record(fleet, record, 0)
        seeds = [document["entries"][seat]["peers"] for seat in seats]
        for seat in seats:
            own = document["entries"][seat]["peers"]
            fleet.start_entry(seat, peer_seeds=[seed for seed in seeds if seed != own])
        fleet.wait_ready(seats, timeout=_START_S)
        yield fleet
    finally:
        # No measurement needs the entries any more, and a graceful stop would take seconds.
        for seat in seats:
            if seat in fleet.processes:
                fleet.processes[seat].signal(signal.SIGKILL)
        fleet.close()


def _write_record(fleet: Fleet, record: t.Any, version: int) -> None:
    """Write a configuration record to the store with compare-and-swap.

    Raises
    ------
    RuntimeError
        If the record is too large or the stored version is not `version`.
    """
    raw = encode_record(record).default_value(b"")
    url = f"http://{fleet.store}/v1/kv/config/current?cas={version}"
    req = urllib.request.Request(url, data=raw, method="PUT")
    with urllib.request.urlopen(req, timeout=5.0) as resp:
        if not raw or resp.read().strip() != b"true":
            raise RuntimeError("the store refused the document")


def _sample(fleet: Fleet, seat: str) -> _Sample:
    pid = fleet.processes[seat].popen.pid
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    rss = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    url = f"http://{fleet.document['entries'][seat]['operators']}/metrics"
    with urllib.request.urlopen(url, timeout=5.0) as resp:
        rows = dict(
            line.split(" ")
            for line in resp.read().decode().splitlines()
            if line.startswith("cardamomloft_peers_")
        )
    name = "cardamomloft_peers_{}_total"
    sent, received = (int(rows.get(name.format(what), 0)) for what in ("sent", "received"))
    nbytes = sum(int(rows.get(name.format(f"{what}_bytes"), 0)) for what in ("sent", "received"))
    return _Sample(ticks / os.sysconf("SC_CLK_TCK"), rss, nbytes, sent + received)


def _measure_usage(fleet: Fleet, seats: list[str], act: Callable[[], object]) -> list[_Usage]:
    """Return the mean usage of each entry while `act` runs."""
    start, before = time.monotonic(), [_sample(fleet, seat) for seat in seats]
    act()
    after, wall = [_sample(fleet, seat) for seat in seats], time.monotonic() - start
    return [
        _Usage(
            100 * (new.cpu - old.cpu) / wall,
            new.rss,
            (new.peer_bytes - old.peer_bytes) / wall,
            (new.peer_messages - old.peer_messages) / wall,
        )
        for old, new in zip(before, after, strict=True)
    ]


def _mean(usages: list[_Usage]) -> _Usage:
    return _Usage(*(sum(column) / len(usages) for column in zip(*usages, strict=True)))


def _start_s(fleet: Fleet, seat: str) -> float:
    """Return the seconds between an entry's log lines ``started`` and ``ready``."""
    stamps = {
        row["message_type"]: row["timestamp"]
        for row in map(json.loads, fleet.processes[seat].lines())
        if row.get("message_type") in ("cardamomloft:started", "cardamomloft:ready")
    }
    return stamps["cardamomloft:ready"] - stamps["cardamomloft:started"]


def _command_cpu_ms(fleet: Fleet) -> float:
    """Return the processor time of one ``cardamomctl status`` run in milliseconds."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    code, answer = fleet.ctl("status")
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    if code not in (0, 1):
        raise RuntimeError(f"cardamomctl status: {code}: {answer}")
    spent = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return 1000 * spent


def _store_calls(fleet: Fleet) -> int:
    counts = get_json(f"http://{fleet.store}/control/counts")["calls"]
    return sum(counts.values())


def _running(fleet: Fleet) -> list[str]:
    return [seat for seat in fleet.document["entries"] if seat in fleet.processes]


def _by_peers(name: str, sizes: tuple[int, ...], times: _Times) -> Iterator[Series]:
    """Yield the usage of idle entries; above 16 entries, digests go to a few targets only."""
    usages, calls, ready, command, in_force = [], [], [], [], []
    for size in sizes:
        document = make_document(Size(size, _ENDPOINTS, _RULES, _REGIONS, _ZONES))
        with _running_fleet(document, f"peers-{size}") as fleet:
            time.sleep(times.settle)
            ready.append((size, max(_start_s(fleet, seat) for seat in _running(fleet))))
            before, start = _store_calls(fleet), time.monotonic()
            usage = _mean(_measure_usage(fleet, _running(fleet), lambda: time.sleep(times.window)))
            usages.append((size, usage))
            calls.append((size, (_store_calls(fleet) - before) / (time.monotonic() - start)))
            if times.repeat > 1:
                spent = min(_command_cpu_ms(fleet) for _ in range(times.repeat))
                command.append((size, spent))
            changed = sorted(_apply_revision(fleet, document) for _ in range(times.repeat))
            in_force.append((size, changed[times.repeat // 2]))
    yield from _series(name, "peers", usages)
    yield Series(f"{name}.ready_after", "peers", "s", tuple(ready), source=SOURCE)
    if command:
        yield Series(f"{name}.command_cpu", "peers", "ms", tuple(command), source=SOURCE)
    yield Series(f"{name}.in_force", "peers", "s", tuple(in_force), source=SOURCE)
    yield Series(f"{name}.store_calls", "peers", "calls/s", tuple(calls), source=SOURCE)


def _by_roster(sizes: tuple[int, ...], times: _Times) -> Iterator[Series]:
    """Yield the usage of entries with a long roster and VM list, of which only a few run."""
    usages, vms = [], []
    for size in sizes:
        document = make_document(Size(size, _ENDPOINTS, _RULES))
        with _running_fleet(document, f"roster-{size}", _RUNNING_ENTRIES) as fleet:
            time.sleep(times.settle)
            seats = _running(fleet)
            usage = _mean(_measure_usage(fleet, seats, lambda: time.sleep(times.window)))
            usages.append((size, usage))
            vms.append((size, _answer_bytes(fleet.vms, "/v1/vms")))
    yield from _series("roster", "entries in the roster", usages)
    yield Series("roster.vm_list", "entries in the roster", "bytes", tuple(vms), source=SOURCE)


def _series(name: str, against: str, usages: list[tuple[int, _Usage]]) -> Iterator[Series]:
    units = {"cpu": "% of a core", "rss": "bytes", "peer_bytes": "bytes/s"}
    units["peer_messages"] = "messages/s"
    for field, unit in units.items():
        points = tuple((size, getattr(usage, field)) for size, usage in usages)
        yield Series(f"{name}.{field}", against, unit, points, source=SOURCE)


def _answer_bytes(address: str, path: str) -> int:
    """Return the bytes of one request and its response, headers included."""
    host, _, port = address.partition(":")
    request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
    with socket.create_connection((host, int(port)), timeout=5.0) as conn:
        conn.sendall(request)
        received = 0
        while data := conn.recv(65536):
            received += len(data)
    return len(request) + received


def _by_load(times: _Times) -> Iterator[Series]:
    document = make_document(Size(_RUNNING_ENTRIES, _ENDPOINTS, _RULES, _REGIONS, _ZONES))
    with _running_fleet(document, "load") as fleet:
        time.sleep(times.settle)
        seat = _running(fleet)[0]
        callers = document["entries"][seat]["callers"]
        paths = {
            "look_ups": ("/lookup?client=10.0.0.9", _LOOKUP_RATES),
            "requests": ("/menus/7", None),
        }
        for name, (path, rates) in paths.items():
            points = []
            for rate in rates or _REQUEST_RATES:
                act = lambda r=rate, p=path: _send_load(callers, p, r, times.window)  # noqa: E731
                done: list[int] = []
                usage = _measure_usage(fleet, [seat], lambda a=act, d=done: d.append(a()))[0]
                points.append((done[0] / times.window, usage.cpu))
            yield Series(
                f"load.{name}", f"{name} a second", "% of a core", tuple(points), source=SOURCE
            )
        poll = next(iter(document["services"]["menus"]["upstreams"].values()))["address"]
        size = _answer_bytes(poll, "/-/load")
        yield Series(
            "load.poll_bytes",
            "polls",
            "bytes",
            tuple((count, count * size) for count in (1, 2, 4, 8)),
            source=SOURCE,
        )
        yield from _by_changes(fleet, document, times)


def _send_load(address: str, path: str, rate: float, seconds: float) -> int:
    """Send `rate` requests per second on a few connections; return the number with status 200."""
    done = [0] * _CALLERS
    end = time.monotonic() + seconds

    def caller(number: int) -> None:
        host, _, port = address.partition(":")
        request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        interval = _CALLERS / rate
        due = time.monotonic() + number / rate
        with socket.create_connection((host, int(port)), timeout=5.0) as conn:
            while due < end:
                time.sleep(max(due - time.monotonic(), 0))
                conn.sendall(request)
                done[number] += _read_answer(conn)
                due += interval

    if not rate:
        time.sleep(seconds)
        return 0
    threads = [threading.Thread(target=caller, args=(number,)) for number in range(_CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(seconds + 10.0)
    return sum(done)


def _read_answer(conn: socket.socket) -> bool:
    """Read one response; return whether its status is 200."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += conn.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    lower = head.lower()
    if b"content-length:" in lower:
        length = int(lower.partition(b"content-length:")[2].split(b"\r\n")[0])
        while len(body) < length:
            body += conn.recv(65536)
    else:
        while not body.endswith(b"0\r\n\r\n"):
            body += conn.recv(65536)
    return head.startswith(b"HTTP/1.1 200")


def _by_changes(fleet: Fleet, document: Document, times: _Times) -> Iterator[Series]:
    seats = _running(fleet)
    cpu, nbytes = [], []
    for count in _CHANGE_COUNTS:

        def act(count: int = count) -> None:
            start = time.monotonic()
            for turn in range(count):
                _apply_revision(fleet, document)
                due = start + (turn + 1) * times.window / count
                time.sleep(max(due - time.monotonic(), 0))
            time.sleep(max(start + times.window - time.monotonic(), 0))

        start = time.monotonic()
        usage = _mean(_measure_usage(fleet, seats, act))
        rate = count / (time.monotonic() - start)
        cpu.append((rate, usage.cpu))
        nbytes.append((rate, usage.peer_bytes))
    against = "changes a second"
    yield Series("changes.cpu", against, "% of a core", tuple(cpu), source=SOURCE)
    yield Series("changes.peer_bytes", against, "bytes/s", tuple(nbytes), source=SOURCE)


def _apply_revision(fleet: Fleet, document: Document) -> float:
    """Record the document as the next revision; return the seconds until it is in force."""
    url = f"http://{fleet.store}/v1/kv/config/current"
    row = get_json(url)[0]
    current = decode_record(base64.b64decode(row["Value"])).ok
    record = next_record(
        current, document, "slopes", "2026-01-01T00:00:00+00:00", "", str(uuid.uuid4())
    )
    _write_record(fleet, record, row["ModifyIndex"])
    seats = _running(fleet)

    def in_force() -> bool:
        return all(
            (fleet.status(seat) or {}).get("revision", 0) >= record["number"] for seat in seats
        )

    return wait_until("revision in force", in_force, 10.0)
