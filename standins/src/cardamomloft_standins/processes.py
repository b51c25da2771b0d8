"""Store and gateway processes on loopback for tests, and access to their operator pages."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import time
import typing as t
import urllib.request
from collections.abc import Callable, Iterator

ROUTES = pathlib.Path(__file__).resolve().parents[3] / "examples" / "gateway-routes.json"
"""A complete configuration document."""

POLL_INTERVAL_S = 0.05
"""Interval between two evaluations of a condition, in seconds."""

_ADDRESS_KEYS = ("callers", "readiness", "lookups", "operators", "peers")


@contextlib.contextmanager
def process(*arguments: str, out: t.Any) -> Iterator["subprocess.Popen[bytes]"]:
    """Run a Python process; it is killed at the end of the with-block."""
    proc = subprocess.Popen([sys.executable, *arguments], stdout=out, stderr=subprocess.STDOUT)
    try:
        yield proc
    finally:
        proc.kill()
        proc.wait()


@contextlib.contextmanager
def store(
    on_start: Callable[["subprocess.Popen[bytes]"], None] = lambda proc: None,
) -> Iterator[str]:
    """Run a store process, which `on_start` is called with; yield its address."""
    arguments = ["-m", "cardamomloft_standins.main", "store", "--listen", "127.0.0.1:0"]
    with process(*arguments, "--shortest-ttl-ms", "1000", out=subprocess.PIPE) as proc:
        on_start(proc)
        yield json.loads(proc.stdout.readline())["listening"][0]


@contextlib.contextmanager
def gateway(
    folder: pathlib.Path, cfg: dict[str, t.Any], launch: tuple[str, ...]
) -> Iterator["subprocess.Popen[bytes]"]:
    """Run a gateway with its settings and log in `folder`; `launch` is its command line."""
    path = folder / f"{cfg['name']}.json"
    path.write_text(json.dumps(cfg))
    with open(log_path(folder, cfg), "wb") as log:
        with process(*launch, "--settings", str(path), out=log) as proc:
            yield proc


def log_path(folder: pathlib.Path, cfg: dict[str, t.Any]) -> pathlib.Path:
    """Return the path of a gateway's log."""
    return folder / f"{cfg['name']}.log"


@contextlib.contextmanager
def reserved_ports(count: int) -> Iterator[list[int]]:
    """Reserve free ports on which a process may listen until the end of the with-block.

    A bound socket that does not listen keeps the kernel from assigning its port to another socket.
    With SO_REUSEADDR on both sockets, another process may still bind and listen on it.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(contextlib.closing(socket.socket()))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
        yield ports


@contextlib.contextmanager
def settings(store_address: str, name: str = "e-1", zone: str = "a") -> Iterator[dict[str, t.Any]]:
    """Yield the settings of a gateway, with ports reserved until the end of the with-block."""
    with reserved_ports(len(_ADDRESS_KEYS)) as ports:
        yield {
            "name": name,
            "zone": zone,
            "region": "east",
            "zones": {"a": "east", "b": "east"},
            **{key: f"127.0.0.1:{port}" for key, port in zip(_ADDRESS_KEYS, ports, strict=True)},
            "proxy": {"ip": "127.0.0.1", "ports": [0, 0]},
            "store": store_address,
            "stop_time": "6s",
            "drain_time": "2500ms",
            "lookup_life": "2s",
            "retries": {"ratio": 0.2, "slack": 60.0, "window": "10s"},
            "cold": {"overage": 1.5, "slack": 5.0},
        }


def configure(store_address: str, **limits: t.Any) -> None:
    """Write the configuration of `ROUTES` with changed caller limits."""
    document = json.loads(ROUTES.read_text())
    document["limits"] |= limits
    url = f"http://{store_address}/v1/kv/gateway/routes/current"
    req = urllib.request.Request(url, json.dumps(document).encode(), method="PUT")
    with urllib.request.urlopen(req, timeout=5) as answer:
        assert answer.read() == b"true"


def status(cfg: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return a gateway's status document."""
    with urllib.request.urlopen(f"http://{cfg['operators']}/status", timeout=5) as answer:
        return json.load(answer)


def metric(cfg: dict[str, t.Any], name: str) -> int:
    """Return the value of a gateway's counter, 0 if it is not exported yet."""
    with urllib.request.urlopen(f"http://{cfg['operators']}/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    values = [line.split()[1] for line in lines if line.startswith(f"cardamomloft_{name}_total ")]
    return int(values[0]) if values else 0


def eventually(condition: Callable[[], t.Any], timeout_s: float) -> bool:
    """Poll `condition` until it holds; return False after `timeout_s` seconds.

    An OSError counts as False, as a process that is still starting refuses connections.
    """
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if condition():
                return True
        time.sleep(POLL_INTERVAL_S)
    return False
