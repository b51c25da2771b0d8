"""Items that other writers leave in the store end no gateway, and don't stop it from following."""

import base64
import contextlib
import json

import pytest
from cardamomloft_standins import processes, rawanswers
from cardamomloft_standins.rawanswers import KEEP, Script

from . import restorable
from .platformfleet import LAUNCH, SIGNED, configuration, registration

OK = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nok"

FOLLOW_S = 4.0
"""Time in which a change is in force, in seconds."""

DEEP = 100_000
GOOD = registration("127.0.0.1:9")
ENTRY = {"name": "e-9", "address": "127.0.0.1:9", "zone": "a", "region": "east"}

VALUES = [
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b'{"slots": ' + b"[" * DEEP + b"]" * DEEP + b"}",
    b"9" * 5_000,
    b"1e400",
    b"-1e400",
    b"NaN",
    b"null",
    b"[]",
    b'"text"',
    b"",
    b"\xff\xfe\x00",
    b'"\\ud800"',
    b"{",
]

FIELDS = {
    "address": ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:" + "9" * 5_000, ":1", "::1:80", "x"],
    "slots": [0, -1, 10**30, 1e400, float("nan"), None, "4", True, [], {}],
    "coldRemaining": ["1e400s", "-1ms", "9" * 5_000 + "s", "", None, 5, "nans"],
    "state": ["gone", None, 1, []],
    "sequence": [10**400, -1, None],
    "zone": ["", None, 1, "\ud800", "no-such-zone", "z" * 100_000],
    "service": ["", None, 1, "\ud800"],
    "version": [None, [[[[]]]], 10**30],
}

ENTRY_FIELDS = {
    "address": ["127.0.0.1:70000", "255.255.255.255:1", "x", None, 1],
    "peers": ["127.0.0.1:70000", "0.0.0.0:1", "224.0.0.1:80", "127.0.0.1:1", "x", None],
    "proxy": ["127.0.0.1:0", "255.255.255.255:65535", "x", None],
    "proxy_token": ["", None, "\ud800", "x" * 100_000],
    "zone": ["", None, "no-such-zone", "\ud800"],
    "region": ["", None, "\ud800"],
    "name": ["", None, "e\n1", "\ud800", "n" * 100_000],
}

KEYS = ["servers/\ud800", "servers/", "servers/a b", "servers/\x00", "servers/" + "k" * 10_000]
KEYS += ["entries/\udfff", "entries/", "op/evacuate/", "op/evacuate/\ud800", "op/other", "\ud800"]


def odd_items():
    """Yield keys and values, of which each is odd in one way."""
    for prefix in ("servers/odd", "entries/odd", "op/evacuate/odd"):
        for number, value in enumerate(VALUES):
            yield f"{prefix}-{number}", value
    for base, fields, prefix in ((GOOD, FIELDS, "servers"), (ENTRY, ENTRY_FIELDS, "entries")):
        for name, values in fields.items():
            for number, value in enumerate(values):
                yield f"{prefix}/{name}-{number}", json.dumps(base | {name: value}).encode()
            without = {key: value for key, value in base.items() if key != name}
            yield f"{prefix}/{name}-missing", json.dumps(without).encode()
    for key in KEYS:
        yield key, json.dumps(ENTRY if key.startswith("entries/") else GOOD).encode()


class Site:
    """A store with one endpoint, and the settings of two gateways."""

    def __init__(self, stack, folder) -> None:
        self.stack, self.folder = stack, folder
        self.store = restorable.RestorableStore()
        self.endpoint = stack.enter_context(rawanswers.raw_server(Script(OK, end=KEEP)))
        self.version = 0
        self.configure()
        self.store.put(f"servers/{self.endpoint.name}", registration(self.endpoint.address))
        (self.port,) = stack.enter_context(restorable.serve(self.store, 1))

    def configure(self) -> None:
        """Write the next configuration."""
        self.version += 1
        self.store.put("op/config", configuration() | {"version": self.version})

    def write(self, key: str, value: bytes) -> None:
        with self.store.changed:
            self.store._put(key, base64.b64encode(value).decode(), 0)

    def start(self, name):
        cfg = self.stack.enter_context(processes.settings(f"127.0.0.1:{self.port}", name))
        launch = ("-c", LAUNCH.format(links=str(self.folder / "links")))
        (self.folder / "links").write_text("{}")
        proc = self.stack.enter_context(processes.gateway(self.folder, cfg, launch))
        assert processes.eventually(lambda: self.is_ready(cfg), 20), self.log(cfg)
        return cfg, proc

    def is_ready(self, cfg) -> bool:
        page = processes.status(cfg)
        return page["state"] == "ready" and page["configuration"] == self.version

    def log(self, cfg) -> str:
        return processes.log_path(self.folder, cfg).read_text()[-3000:]

    def follows(self, cfg) -> bool:
        """Return whether a gateway takes the next configuration and the next registration."""
        self.configure()
        return processes.eventually(lambda: self.is_ready(cfg), FOLLOW_S)


@pytest.fixture
def site(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Site(stack, tmp_path)


def test_gateways_follow_and_start_beside_items_that_are_odd_in_any_way(site):
    running = site.start("e-1")
    for key, value in odd_items():
        site.write(key, value)
    assert site.follows(running[0]), site.log(running[0])
    assert site.follows(site.start("e-2")[0])
    assert running[1].poll() is None
    assert processes.status(running[0])["upstreams"] >= 1


@pytest.mark.parametrize("key", KEYS)
def test_gateway_follows_beside_one_odd_key(site, key):
    """Guards against listings of which one key makes all others unreadable."""
    running = site.start("e-1")
    site.write(key, json.dumps(GOOD).encode())
    assert site.follows(running[0]), site.log(running[0])
    assert site.follows(site.start("e-2")[0])
