"""Real processes on loopback for tests: a store, gateways, and what operators ask of them."""

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
"""A whole configuration document."""

POLL_S = 0.05
"""Pause between two looks at a condition, in seconds."""

_ADDRESSES = ("callers", "readiness", "lookups", "operators", "peers")


@contextlib.contextmanager
def process(*arguments: str, out: t.Any) -> Iterator["subprocess.Popen[bytes]"]:
    """Own a Python process for the length of a with-block."""
    proc = subprocess.Popen([sys.executable, *arguments], stdout=out, stderr=subprocess.STDOUT)
    try:
        yield proc
    finally:
        proc.kill()
        proc.wait()


@contextlib.contextmanager
def store() -> Iterator[str]:
    """Own a store; yields its address."""
    arguments = ["-m", "cardamomloft_standins.main", "store", "--listen", "127.0.0.1:0"]
    with process(*arguments, "--shortest-ttl-ms", "1000", out=subprocess.PIPE) as proc:
        yield json.loads(proc.stdout.readline())["listening"][0]


@contextlib.contextmanager
def gateway(
    folder: pathlib.Path, cfg: dict[str, t.Any], launch: tuple[str, ...]
) -> Iterator["subprocess.Popen[bytes]"]:
    """Own a gateway with its settings and log in `folder`, started by the words of `launch`."""
    path = folder / f"{cfg['name']}.json"
    path.write_text(json.dumps(cfg))
    with open(log_path(folder, cfg), "wb") as log:
        with process(*launch, "--settings", str(path), out=log) as proc:
            yield proc


def log_path(folder: pathlib.Path, cfg: dict[str, t.Any]) -> pathlib.Path:
    """Return where a gateway's log is."""
    return folder / f"{cfg['name']}.log"


@contextlib.contextmanager
def held_ports(count: int) -> Iterator[list[int]]:
    """Own free ports that nobody else is given, but on which a process may listen.

    A socket that is bound and does not listen keeps the system from giving its port to another
    connection, and with SO_REUSEADDR on both a listener may bind it all the same. Without it one of
    45 ports was taken on a busy machine before its gateway had started.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            held = stack.enter_context(contextlib.closing(socket.socket()))
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind(("127.0.0.1", 0))
            ports.append(held.getsockname()[1])
        yield ports


@contextlib.contextmanager
def settings(store_address: str, name: str = "e-1", zone: str = "a") -> Iterator[dict[str, t.Any]]:
    """Own the settings of a gateway: its ports are held as long as they are in use."""
    with held_ports(len(_ADDRESSES)) as ports:
        yield {
            "name": name,
            "zone": zone,
            "region": "east",
            "zones": {"a": "east", "b": "east"},
            **{key: f"127.0.0.1:{port}" for key, port in zip(_ADDRESSES, ports, strict=True)},
            "store": store_address,
            "stop_time": "6s",
            "drain_time": "2500ms",
            "lookup_life": "2s",
            "retries": {"ratio": 0.2, "slack": 60.0, "window": "10s"},
            "cold": {"overage": 1.5, "slack": 5.0},
        }


def configure(store_address: str, **limits: t.Any) -> None:
    """Write a configuration with changed limits of callers."""
    document = json.loads(ROUTES.read_text())
    document["limits"] |= limits
    url = f"http://{store_address}/v1/kv/gateway/routes/current"
    req = urllib.request.Request(url, json.dumps(document).encode(), method="PUT")
    with urllib.request.urlopen(req, timeout=5) as answer:
        assert answer.read() == b"true"


def status(cfg: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return a gateway's status page."""
    with urllib.request.urlopen(f"http://{cfg['operators']}/status", timeout=5) as answer:
        return json.load(answer)


def metric(cfg: dict[str, t.Any], name: str) -> int:
    """Return a gateway's counter, 0 if it has not counted yet."""
    with urllib.request.urlopen(f"http://{cfg['operators']}/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    values = [line.split()[1] for line in lines if line.startswith(f"cardamomloft_{name}_total ")]
    return int(values[0]) if values else 0


def eventually(condition: Callable[[], t.Any], patience_s: float) -> bool:
    """Wait for `condition`, which may fail while a process starts."""
    end = time.monotonic() + patience_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if condition():
                return True
        time.sleep(POLL_S)
    return False
