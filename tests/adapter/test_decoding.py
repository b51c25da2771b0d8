"""The platform's items become facts, and malformed ones say what is wrong with them."""

import json
from datetime import timedelta

import pytest
from cardamomloft.core.registrations import (
    EntryRecord,
    EntryRecorded,
    EntryWithdrawn,
    PlanRead,
    Registration,
    Unreadable,
    UpstreamRegistered,
    UpstreamUnreadable,
    UpstreamWithdrawn,
    ZoneDrained,
    ZoneRestored,
)
from cardamomloft.core.routes import ServicePolicy, ServiceShare
from cardamomloft.gateway.entryrecords import encode_entry
from cardamomloft.platform.decoding import decode_item, decode_removal
from hypothesis import given, settings
from hypothesis import strategies as st

from .columns import ROUTE_COLUMNS

MS = timedelta(milliseconds=1)

SERVER = {
    "service": "menus",
    "address": "10.1.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemaining": "2.5s",
    "sequence": 4,
}

ROUTE = ["r-1", "A.example", "/x/", "unsafe", "1200ms", "500ms", 1, "pay", 2, True, ["east"], None]
SPLIT = ["r-2", "a.example", "/x/y/", "safe", "1s", None, 2, None, 3, False, [], []]

CONFIG = {
    "version": 7,
    "routes": {"columns": ROUTE_COLUMNS, "rows": [ROUTE]},
    "services": {
        "columns": ["name", "healthPath", "maxConnections", "coldStart", "coldPerS"],
        "rows": [["pay", "/health", 360, "3s", 7.0], ["menus", "/health", 10, None, None]],
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
}


def _config(**changes):
    return json.dumps({**CONFIG, **changes}).encode()


def _plan(value: bytes):
    fact = decode_item("op/config", value)
    assert isinstance(fact, PlanRead), fact
    return fact.plan


def test_a_registration():
    fact = decode_item("servers/i-7", json.dumps(SERVER).encode())
    wanted = Registration("i-7", "menus", "10.1.0.9:8080", "a", 4, False, 2500 * MS)
    assert fact == UpstreamRegistered(wanted)


def test_a_leaving_endpoint_with_fields_that_came_later_and_the_start_of_its_life():
    row = {**SERVER, "state": "draining", "later": 1, "born": 1_700_000_000_123}
    registration = decode_item("servers/i-7", json.dumps(row).encode()).registration
    assert registration.draining
    assert registration.started_ms == 1_700_000_000_123


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("slots", 0),
        ("slots", "4"),
        ("slots", True),
        ("slots", 4.0),
        ("slots", 10**30),
        ("version", 1),
        ("sequence", "4"),
        ("sequence", None),
        ("born", 1.5),
        ("born", "1"),
        ("born", True),
        ("born", None),
        ("born", -1),
        ("address", "10.1.0.9"),
        ("address", "10.1.0.900:80"),
        ("address", "10.1.0.9:0"),
        ("address", "10.1.0.9:99999"),
        ("address", "somewhere.example:80"),
        ("coldRemaining", None),
        ("state", "unheard-of"),
        ("address", None),
        ("service", ""),
        ("coldRemaining", "soon"),
        ("coldRemaining", 7),
    ],
)
def test_an_odd_registration_is_unreadable(name, value):
    fact = decode_item("servers/i-7", json.dumps({**SERVER, name: value}).encode())
    assert isinstance(fact, UpstreamUnreadable)
    assert fact.id == "i-7"
    assert 0 < len(fact.detail) <= 200


@pytest.mark.parametrize("name", sorted(SERVER))
def test_a_registration_that_lacks_a_field_is_unreadable(name):
    row = {key: value for key, value in SERVER.items() if key != name}
    assert isinstance(decode_item("servers/i-7", json.dumps(row).encode()), UpstreamUnreadable)


@pytest.mark.parametrize("name", ["", "i 7", "i-7\r\nX: 1", "i-\u00e9", "x" * 201])
def test_an_id_that_fits_into_no_header_names_no_endpoint(name):
    fact = decode_item(f"servers/{name}", json.dumps(SERVER).encode())
    assert isinstance(fact, UpstreamUnreadable)


_SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=10,
)
_CHANGED = st.dictionaries(st.sampled_from([*SERVER, "born"]), _VALUES, min_size=1, max_size=3)


def _is_usable(registration):
    host, _, port = registration.address.rpartition(":")
    numbers = (registration.slots, registration.started_ms)
    return (
        all(type(number) is int for number in numbers)
        and registration.slots >= 1
        and all(0 <= int(part) <= 255 for part in host.split("."))
        and 0 < int(port) < 65_536
        and all(type(text) is str and text for text in (registration.service, registration.zone))
        and registration.cold_left >= timedelta(0)
    )


@settings(max_examples=500, deadline=None)
@given(_CHANGED)
def test_what_another_writer_changes_is_read_rightly_or_not_at_all(changed):
    fact = decode_item("servers/i-7", json.dumps({**SERVER, **changed}).encode())
    if isinstance(fact, UpstreamRegistered):
        assert _is_usable(fact.registration)
    else:
        assert isinstance(fact, UpstreamUnreadable)


@settings(max_examples=500, deadline=None)
@given(st.sampled_from(["servers/i-7", "entries/e-1", "op/config"]), st.binary(max_size=200))
def test_bytes_that_are_no_value_are_unreadable(key, value):
    assert isinstance(decode_item(key, value), Unreadable | UpstreamUnreadable)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(CONFIG)), _VALUES)
def test_a_configuration_with_an_odd_part_is_unreadable_or_whole(name, value):
    fact = decode_item("op/config", _config(**{name: value}))
    assert isinstance(fact, Unreadable) or type(fact.plan.number) is int


@pytest.mark.parametrize("key", ["servers/i-7", "entries/e-1", "op/config"])
@pytest.mark.parametrize(
    "value",
    [b"[" * 100_000, b'{"a":' * 100_000, b"9" * 100_000, b'{"slots": 1e400}', b"\xff\xfe", b""],
)
def test_giant_and_nested_values_are_unreadable(key, value):
    assert isinstance(decode_item(key, value), Unreadable | UpstreamUnreadable)


def test_a_configuration():
    plan = _plan(_config())
    (rule,) = plan.rules
    assert plan.number == 7
    assert (rule.name, rule.host, rule.prefix) == ("r-1", "a.example", "/x/")
    assert rule.services == (ServiceShare("pay", 1),)
    assert not rule.idempotent
    assert (rule.timeout, rule.target) == (1200 * MS, 500 * MS)
    assert (rule.attempts, rule.priority, rule.keyed) == (2, 1, True)
    assert rule.homes == {"east"}
    assert plan.services["pay"] == ServicePolicy("pay", 360, 3000 * MS, 7.0)
    assert plan.services["menus"].cold_per_s == 0
    assert plan.limits.body_bytes == 1000
    assert plan.limits.idle_timeout == 15_000 * MS


def test_divided_services_and_the_longest_prefix_first():
    split = [*SPLIT[:-1], [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]]
    rows = {"columns": ROUTE_COLUMNS, "rows": [ROUTE, split]}
    first, second = _plan(_config(routes=rows)).rules
    assert first.services == (ServiceShare("a", 90), ServiceShare("b", 10))
    assert (first.idempotent, first.target) == (True, timedelta(seconds=1))
    assert second.name == "r-1"


@pytest.mark.parametrize("kind", ["unsafe", "upload", "never-heard-of"])
def test_only_safe_requests_may_be_repeated(kind):
    row = [
        kind if column == "kind" else cell
        for column, cell in zip(ROUTE_COLUMNS, ROUTE, strict=True)
    ]
    (rule,) = _plan(_config(routes={"columns": ROUTE_COLUMNS, "rows": [row]})).rules
    assert not rule.idempotent


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"[]",
        b"\xff",
        _config(version="7"),
        _config(limits={}),
        _config(routes={"columns": ["name"], "rows": [["r-1", "more"]]}),
        _config(routes={"columns": ["name"], "rows": [["r-1"]]}),
    ],
)
def test_a_configuration_that_cannot_be_decoded_is_unreadable(value):
    assert isinstance(decode_item("op/config", value), Unreadable)


def test_zones_that_are_drained_and_restored():
    assert decode_item("op/evacuate/a", b"{}") == ZoneDrained("a")
    assert decode_removal("op/evacuate/a") == ZoneRestored("a")


def test_an_entrys_own_record_reads_as_written():
    record = EntryRecord("e-1", "10.0.0.1:80", "a", "east")
    assert decode_item("entries/e-1", encode_entry(record)) == EntryRecorded(record)
    assert decode_removal("entries/e-1") == EntryWithdrawn("e-1")
    assert isinstance(decode_item("entries/e-1", b'{"name": 1}'), Unreadable)


def test_removed_registrations_and_keys_of_others():
    assert decode_removal("servers/i-7") == UpstreamWithdrawn("i-7")
    assert decode_removal("op/config") is None
    assert decode_item("elsewhere/x", b"") is None
